// Package frontend serves callers and operators over HTTP. It checks each
// request against the configuration in force, hands it to the Gateway and
// writes the answer or the typed refusal.
package frontend

import (
	"context"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/merge"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// SearchRequest is a checked search of a caller.
type SearchRequest struct {
	// RequestID is the caller's own id, if it sent one. Two callers may send
	// the same id, so it must not be used to match responses to requests.
	RequestID string
	Caller    string
	Service   model.ServiceID
	Operation string
	// Query is the JSON value of the field "query".
	Query    []byte
	Limit    int
	Deadline time.Time
}

// SearchAnswer is the answer to a search. The data of each row is JSON.
type SearchAnswer struct {
	Snapshot model.Snapshot
	Coverage merge.Coverage
	Rows     []wire.Row
}

// CallRequest is a checked call of an operation.
type CallRequest struct {
	// RequestID is the caller's own id, see SearchRequest.
	RequestID string
	Caller    string
	Service   model.ServiceID
	Operation string
	// Key is the idempotency key; it is never empty for an operation that is
	// not idempotent.
	Key string
	// Body is the caller's JSON object, byte for byte.
	Body     []byte
	Deadline time.Time
}

// CallAnswer is the answer to a call. Result is JSON, or empty.
type CallAnswer struct {
	Result []byte
}

// Gateway runs checked requests. Every error is an *errs.Refusal. It answers
// by the request's Deadline. The context ends when the caller disconnects, and
// AnswerGrace after the deadline.
type Gateway interface {
	Search(ctx context.Context, r SearchRequest) (*SearchAnswer, error)
	Call(ctx context.Context, r CallRequest) (*CallAnswer, error)
}

// AnswerGrace is the time after a request's deadline at which its context
// ends. It lets an answer that is sent at the deadline be written.
const AnswerGrace = 100 * time.Millisecond

// Request headers of the callers' interface.
const (
	HeaderDeadlineMS     = "Nutmeghitch-Deadline-Ms"
	HeaderCaller         = "Nutmeghitch-Caller"
	HeaderRequestID      = "Nutmeghitch-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// DefaultOperation is the operation of a search that names none.
const DefaultOperation = "search"

// AnonymousCaller is the identity of a caller that sends none.
const AnonymousCaller = "anonymous"

// MaxIdentifierBytes bounds the idempotency key, the caller and the request id.
const MaxIdentifierBytes = 200
