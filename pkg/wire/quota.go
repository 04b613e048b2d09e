package wire

import "time"

// QuotaRequest is a message of one VM to another about the caps of tenants. The stream
// number of its frame is that of the QuotaReply. It has an Ask or a Vote.
type QuotaRequest struct {
	// VM is the VM that sends it.
	VM   string     `msgpack:"vm"`
	Ask  *QuotaAsk  `msgpack:"ask"`
	Vote *QuotaVote `msgpack:"vote"`
}

// QuotaAsk asks for tokens of a tenant's cap.
type QuotaAsk struct {
	Tenant string `msgpack:"tenant"`
	// Rate and Burst are the cap that the sender knows.
	Rate  float64 `msgpack:"rate"`
	Burst float64 `msgpack:"burst"`
	// Count is the number of tokens; one is needed at once.
	Count int `msgpack:"n"`
}

// QuotaVote asks an elector for a vote on the right of a VM to grant tokens.
type QuotaVote struct {
	Kind    uint8  `msgpack:"kind"`
	Subject string `msgpack:"subject"`
}

// QuotaReply answers a QuotaRequest.
type QuotaReply struct {
	// Outcome, Count and RetryAfter answer an Ask, Voted a Vote.
	Outcome    uint8         `msgpack:"outcome"`
	Count      int           `msgpack:"n"`
	RetryAfter time.Duration `msgpack:"retry"`
	Voted      bool          `msgpack:"voted"`
	// Spare gives a token for the time in which no VM answers.
	Spare bool `msgpack:"spare"`
}

// Kind implements Message.
func (*QuotaRequest) Kind() Kind { return KindQuotaRequest }

// Kind implements Message.
func (*QuotaReply) Kind() Kind { return KindQuotaReply }
