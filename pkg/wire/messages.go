// Package wire defines the messages of the protocol between VMs and encodes them
// into frames.
package wire

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// Kind identifies the type of a message in a frame header.
type Kind uint8

// Kinds of messages. Values are part of the protocol.
const (
	KindHello Kind = iota + 1
	KindProof
	KindPing
	KindAck
	KindPingRequest
	KindPingResult
	KindSyncRequest
	KindSyncReply
	KindConfigRequest
	KindConfigReply
	KindRelease
	KindSearchBatch
	KindSearchPartial
	KindCancelAttempts
	KindCallRequest
	KindCallReply
	KindClaimRequest
	KindClaimReply
	KindPoisonReport
	KindPoisonAck
	KindFailure
	KindStreamEnd
	KindProbe
	KindProbeReply
	KindFeedSubscribe
	KindFeedUpdate
	KindRelayRequest
	KindRelayReply
	KindForwardOpen
	KindQuotaRequest
	KindQuotaReply

	// lastKind is the highest kind that has a message type.
	lastKind = KindQuotaReply
)

// Message is implemented by every message of the protocol.
type Message interface{ Kind() Kind }

// LoadHint reports the load of a replica as its owner sees it; routing uses it.
type LoadHint struct {
	// Outstanding is the number of requests that run at the replica or wait for it.
	Outstanding int `msgpack:"out"`
	// Window is the number of requests that the owner lets run at a time.
	Window      float64       `msgpack:"win"`
	ServiceTime time.Duration `msgpack:"svc"`
}

// Failure is the encoded form of an errs.Refusal.
type Failure struct {
	Code       errs.Code     `msgpack:"code"`
	RunState   errs.RunState `msgpack:"run"`
	Detail     string        `msgpack:"detail"`
	RetryAfter time.Duration `msgpack:"retry"`
}

// FailureOf converts an error, or returns nil for a nil error.
func FailureOf(err error) *Failure {
	if err == nil {
		return nil
	}
	r := errs.As(err)
	return &Failure{Code: r.Code, RunState: r.RunState, Detail: r.Detail, RetryAfter: r.RetryAfter}
}

// Err converts the failure back into an *errs.Refusal, or returns nil for a nil
// failure.
func (f *Failure) Err() error {
	if f == nil {
		return nil
	}
	return &errs.Refusal{Code: f.Code, RunState: f.RunState, Detail: f.Detail, RetryAfter: f.RetryAfter}
}

// SearchItem asks one replica for the rows of its group.
type SearchItem struct {
	Group   model.GroupID   `msgpack:"g"`
	Replica model.ReplicaID `msgpack:"r"`
	Attempt uint32          `msgpack:"a"`
}

// SearchBatch asks an owner to run the attempts of one search at its replicas.
type SearchBatch struct {
	QueryID   string          `msgpack:"id"`
	Service   model.ServiceID `msgpack:"service"`
	Operation string          `msgpack:"op"`
	Snapshot  model.Snapshot  `msgpack:"snap"`
	// Remaining is the time until the deadline of the search.
	Remaining time.Duration `msgpack:"remaining"`
	Payload   []byte        `msgpack:"payload"`
	// Limit is the maximum number of rows in the result.
	Limit       int    `msgpack:"limit"`
	Fingerprint uint64 `msgpack:"fp"`
	// Suspect is set if upstreams were lost with requests of this fingerprint in
	// flight. A replica runs only one suspect request at a time.
	Suspect bool `msgpack:"suspect"`
	// Proven is set if another group has answered this search or a request with
	// its fingerprint succeeded recently. The loss of an upstream is then not
	// counted against the fingerprint.
	Proven bool         `msgpack:"proven"`
	Caller string       `msgpack:"caller"`
	Items  []SearchItem `msgpack:"items"`
}

// Row is a result row. Key holds the values of the service's sort keys.
type Row struct {
	Group model.GroupID `msgpack:"g"`
	Key   []any         `msgpack:"k"`
	Data  []byte        `msgpack:"d"`
}

// GroupOutcome reports the result of one attempt of a SearchBatch. The rows are in
// the SearchPartial.
type GroupOutcome struct {
	Group       model.GroupID   `msgpack:"g"`
	Replica     model.ReplicaID `msgpack:"r"`
	Attempt     uint32          `msgpack:"a"`
	Shards      []model.ShardID `msgpack:"shards"`
	Failure     *Failure        `msgpack:"f"`
	Hint        LoadHint        `msgpack:"hint"`
	ServiceTime time.Duration   `msgpack:"t"`
}

// SearchPartial carries the merged rows of the groups that finished since the
// previous SearchPartial of the same batch.
type SearchPartial struct {
	QueryID string         `msgpack:"id"`
	Groups  []GroupOutcome `msgpack:"groups"`
	Rows    []Row          `msgpack:"rows"`
	Last    bool           `msgpack:"last"`
}

// CancelAttempts cancels attempts whose results are no longer needed.
type CancelAttempts struct {
	QueryID  string   `msgpack:"id"`
	Attempts []uint32 `msgpack:"attempts"`
}

// CallRequest asks an owner to run an operation of a lookup service at one
// replica.
type CallRequest struct {
	RequestID string          `msgpack:"id"`
	Attempt   uint32          `msgpack:"attempt"`
	Service   model.ServiceID `msgpack:"service"`
	Operation string          `msgpack:"op"`
	Replica   model.ReplicaID `msgpack:"r"`
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration `msgpack:"remaining"`
	Payload   []byte        `msgpack:"payload"`
	// Token is the token of the claim under which a non-idempotent operation runs.
	// It is empty if the operation is idempotent.
	Token       string `msgpack:"token"`
	Fingerprint uint64 `msgpack:"fp"`
	// Suspect has the same meaning as in a SearchBatch.
	Suspect    bool   `msgpack:"suspect"`
	Idempotent bool   `msgpack:"idem"`
	Caller     string `msgpack:"caller"`
}

// CallReply answers a CallRequest.
type CallReply struct {
	RequestID   string        `msgpack:"id"`
	Result      []byte        `msgpack:"result"`
	Failure     *Failure      `msgpack:"f"`
	Hint        LoadHint      `msgpack:"hint"`
	ServiceTime time.Duration `msgpack:"t"`
}

// Release tells the new owner of replicas that the last attempt of the sender,
// their previous owner, has ended.
type Release struct {
	Replicas []model.ReplicaID `msgpack:"replicas"`
	InFlight int               `msgpack:"inflight"`
}

// PoisonReport passes a poison entry directly to a peer, ahead of gossip. Sequence
// is that of the sender's gossiped item, so that the receiver can gossip the same
// item.
type PoisonReport struct {
	Entry    model.PoisonEntry `msgpack:"entry"`
	Sequence uint64            `msgpack:"seq"`
}

// PoisonAck confirms that the receiver of a PoisonReport has merged its entry.
type PoisonAck struct {
	Fingerprint uint64 `msgpack:"fp"`
}

// Kind implements Message.
func (*SearchBatch) Kind() Kind { return KindSearchBatch }

// Kind implements Message.
func (*SearchPartial) Kind() Kind { return KindSearchPartial }

// Kind implements Message.
func (*CancelAttempts) Kind() Kind { return KindCancelAttempts }

// Kind implements Message.
func (*CallRequest) Kind() Kind { return KindCallRequest }

// Kind implements Message.
func (*CallReply) Kind() Kind { return KindCallReply }

// Kind implements Message.
func (*Release) Kind() Kind { return KindRelease }

// Kind implements Message.
func (*PoisonReport) Kind() Kind { return KindPoisonReport }

// Kind implements Message.
func (*PoisonAck) Kind() Kind { return KindPoisonAck }

// Kind implements Message.
func (*Failure) Kind() Kind { return KindFailure }
