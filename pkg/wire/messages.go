// Package wire defines the frames and messages of the protocol between VMs.
package wire

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// Kind identifies a message type in a frame header.
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

	// lastKind is the highest kind in use.
	lastKind = KindFeedUpdate
)

// Message is implemented by every message of the protocol.
type Message interface{ Kind() Kind }

// LoadHint is the owner's report on a replica, used for routing.
type LoadHint struct {
	Outstanding int           `msgpack:"out"`
	Window      float64       `msgpack:"win"`
	ServiceTime time.Duration `msgpack:"svc"`
}

// Failure is the wire form of a refusal.
type Failure struct {
	Code       errs.Code     `msgpack:"code"`
	RunState   errs.RunState `msgpack:"run"`
	Detail     string        `msgpack:"detail"`
	RetryAfter time.Duration `msgpack:"retry"`
}

// FailureOf converts err; it returns nil for a nil error.
func FailureOf(err error) *Failure {
	if err == nil {
		return nil
	}
	r := errs.As(err)
	return &Failure{Code: r.Code, RunState: r.RunState, Detail: r.Detail, RetryAfter: r.RetryAfter}
}

// Err converts the failure back; it returns nil for a nil failure.
func (f *Failure) Err() error {
	if f == nil {
		return nil
	}
	return &errs.Refusal{Code: f.Code, RunState: f.RunState, Detail: f.Detail, RetryAfter: f.RetryAfter}
}

// SearchItem asks for one group from one replica.
type SearchItem struct {
	Group   model.GroupID   `msgpack:"g"`
	Replica model.ReplicaID `msgpack:"r"`
	Attempt uint32          `msgpack:"a"`
}

// SearchBatch carries the part of a search that one owner runs.
type SearchBatch struct {
	QueryID     string          `msgpack:"id"`
	Service     model.ServiceID `msgpack:"service"`
	Operation   string          `msgpack:"op"`
	Snapshot    model.Snapshot  `msgpack:"snap"`
	Remaining   time.Duration   `msgpack:"remaining"`
	Payload     []byte          `msgpack:"payload"`
	Limit       int             `msgpack:"limit"`
	Fingerprint uint64          `msgpack:"fp"`
	Suspect     bool            `msgpack:"suspect"`
	// Proven is set when another group has answered this search, so that the
	// loss of an upstream is not held against it.
	Proven bool         `msgpack:"proven"`
	Caller string       `msgpack:"caller"`
	Items  []SearchItem `msgpack:"items"`
}

// Row is one result row. Key holds the values of the service's order keys.
type Row struct {
	Group model.GroupID `msgpack:"g"`
	Key   []any         `msgpack:"k"`
	Data  []byte        `msgpack:"d"`
}

// GroupOutcome reports one attempt of a SearchBatch.
type GroupOutcome struct {
	Group       model.GroupID   `msgpack:"g"`
	Replica     model.ReplicaID `msgpack:"r"`
	Attempt     uint32          `msgpack:"a"`
	Shards      []model.ShardID `msgpack:"shards"`
	Failure     *Failure        `msgpack:"f"`
	Hint        LoadHint        `msgpack:"hint"`
	ServiceTime time.Duration   `msgpack:"t"`
}

// SearchPartial merges the rows of the groups that finished since the
// previous partial of the same batch.
type SearchPartial struct {
	QueryID string         `msgpack:"id"`
	Groups  []GroupOutcome `msgpack:"groups"`
	Rows    []Row          `msgpack:"rows"`
	Last    bool           `msgpack:"last"`
}

// CancelAttempts withdraws attempts whose result is no longer needed.
type CancelAttempts struct {
	QueryID  string   `msgpack:"id"`
	Attempts []uint32 `msgpack:"attempts"`
}

// CallRequest asks an owner to run one lookup operation on one replica.
type CallRequest struct {
	RequestID   string          `msgpack:"id"`
	Attempt     uint32          `msgpack:"attempt"`
	Service     model.ServiceID `msgpack:"service"`
	Operation   string          `msgpack:"op"`
	Replica     model.ReplicaID `msgpack:"r"`
	Remaining   time.Duration   `msgpack:"remaining"`
	Payload     []byte          `msgpack:"payload"`
	Token       string          `msgpack:"token"`
	Fingerprint uint64          `msgpack:"fp"`
	Suspect     bool            `msgpack:"suspect"`
	Idempotent  bool            `msgpack:"idem"`
	Caller      string          `msgpack:"caller"`
}

// CallReply is the outcome of a CallRequest.
type CallReply struct {
	RequestID   string        `msgpack:"id"`
	Result      []byte        `msgpack:"result"`
	Failure     *Failure      `msgpack:"f"`
	Hint        LoadHint      `msgpack:"hint"`
	ServiceTime time.Duration `msgpack:"t"`
}

// Release tells a new owner that the sender dispatches no more work to the replicas.
type Release struct {
	Replicas []model.ReplicaID `msgpack:"replicas"`
	InFlight int               `msgpack:"inflight"`
}

// PoisonReport spreads the verdict on a fingerprint. Sequence is that of the
// sender's gossiped item, so that the receiver can gossip the same item.
type PoisonReport struct {
	Entry    model.PoisonEntry `msgpack:"entry"`
	Sequence uint64            `msgpack:"seq"`
}

// PoisonAck confirms a PoisonReport.
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
