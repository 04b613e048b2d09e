package wire

import (
	"encoding/base64"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// RelayRequest asks a VM to send a fan-out query to one replica of each of some
// services in its own failure domain, and to merge what they answer.
type RelayRequest struct {
	// RequestID is the identifier of the caller's attempt, which replicas echo.
	RequestID string `msgpack:"id"`
	// Attempt identifies the attempt in the ledger of crashes. Older VMs leave it empty.
	Attempt string `msgpack:"attempt"`
	Method  string `msgpack:"method"`
	// Head is the request line and the header lines that all sends share.
	Head []byte `msgpack:"head"`
	Body []byte `msgpack:"body"`
	// Fingerprint identifies the request in the ledger of crashes.
	Fingerprint uint64 `msgpack:"fp"`
	// Exact identifies the request with its query string.
	Exact    uint64   `msgpack:"exact"`
	Services []string `msgpack:"services"`
	// TopK is the number of records that the merged answer needs.
	TopK int `msgpack:"k"`
	// Usual is the usual latency of the replicas.
	Usual time.Duration `msgpack:"usual"`
	// Left is the time that a replica has for its answer.
	Left time.Duration `msgpack:"left"`
	// FirstReply is the time after which the sender needs to know which services
	// have not answered. From then on each outcome is passed on at once.
	FirstReply time.Duration `msgpack:"first"`
	// End is the time after which the sender waits for no further reply.
	End time.Duration `msgpack:"end"`
}

// RelayReply carries outcomes of a RelayRequest. Each service is in one reply.
type RelayReply struct {
	// Records are the greatest records of the services in Answered.
	Records  []byte         `msgpack:"records"`
	Answered []RelayAnswer  `msgpack:"answered"`
	Failed   []RelayFailure `msgpack:"failed"`
	// Limits holds the request limits that replicas of the services name.
	Limits []RelayLimit `msgpack:"limits"`
	// Leaving holds the replicas that have said that they leave.
	Leaving []RelayLeaving `msgpack:"leaving"`
	// Done is set in the last reply.
	Done bool `msgpack:"done"`
}

// RelayLimit is the request limit that a replica names in its answers.
type RelayLimit struct {
	// Service is the index of the service in the request.
	Service int    `msgpack:"s"`
	Replica string `msgpack:"replica"`
	// PerSecond is the number of requests a second that the replica accepts from all
	// VMs together.
	PerSecond float64 `msgpack:"rate"`
}

// RelayLeaving names a replica that has said in its answer that it leaves.
type RelayLeaving struct {
	// Service is the index of the service in the request.
	Service int    `msgpack:"s"`
	Replica string `msgpack:"replica"`
}

// RelayAnswer says that a replica of a service has answered.
type RelayAnswer struct {
	// Service is the index of the service in the request.
	Service int           `msgpack:"s"`
	Receipt string        `msgpack:"receipt"`
	Latency time.Duration `msgpack:"latency"`
}

// RelayFailure says that a service gave no answer.
type RelayFailure struct {
	// Service is the index of the service in the request.
	Service int     `msgpack:"s"`
	Failure Failure `msgpack:"f"`
	// ReachedReplica is set if a replica has received the request.
	ReachedReplica bool `msgpack:"reached"`
}

// Kind implements Message.
func (*RelayRequest) Kind() Kind { return KindRelayRequest }

// Kind implements Message.
func (*RelayReply) Kind() Kind { return KindRelayReply }

// ForwardOpen is the first message of a connection that carries callers' requests from
// one VM to another, as HTTP, after it.
type ForwardOpen struct {
	// VM is the VM that sends the requests.
	VM string `msgpack:"vm"`
	// Reports is set if the sender reads ReplicaReports. VMs of older versions do not.
	Reports bool `msgpack:"reports"`
	// Tenants is set if the sender tells of each request whether it has replaced the key
	// of the caller by the name of the tenant. VMs of older builds do not.
	Tenants bool `msgpack:"tenants"`
}

// Kind implements Message.
func (*ForwardOpen) Kind() Kind { return KindForwardOpen }

// ReplicaReport is what a replica has said of itself to a VM that answered a request in
// place of another one, which passes the answer on. As text it is the value of a header
// field between VMs.
type ReplicaReport struct {
	Service string `msgpack:"service"`
	Replica string `msgpack:"replica"`
	// Born is the start of the replica's process, in Unix milliseconds.
	Born int64 `msgpack:"born"`
	// Leaving is set if it leaves, and Pause is the time for which it wants no requests.
	Leaving bool          `msgpack:"leaving"`
	Pause   time.Duration `msgpack:"pause"`
	// Limited is set if it accepts PerSecond requests a second from all VMs together.
	Limited   bool    `msgpack:"limited"`
	PerSecond float64 `msgpack:"rate"`
}

// EncodeReplicaReports returns the reports as text.
func EncodeReplicaReports(reports []ReplicaReport) (string, error) {
	content, err := msgpack.Marshal(reports)
	return base64.RawURLEncoding.EncodeToString(content), err
}

// DecodeReplicaReports returns the reports of a text. Its error is an *errs.Refusal with
// code FrameMalformed.
func DecodeReplicaReports(text string) ([]ReplicaReport, error) {
	var reports []ReplicaReport
	content, err := base64.RawURLEncoding.DecodeString(text)
	if err == nil {
		err = msgpack.Unmarshal(content, &reports)
	}
	if err != nil {
		return nil, errs.Refuse(errs.FrameMalformed, "reports of replicas: %v", err)
	}
	return reports, nil
}
