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

// SearchRequest is a caller's search after validation.
type SearchRequest struct {
	// RequestID is the id that the caller sent, or a generated one. Two callers
	// may send the same id, so it must not be used to match responses to
	// requests.
	RequestID string
	Caller    string
	Service   model.ServiceID
	Operation string
	// Query is the JSON value of the field "query".
	Query []byte
	// Limit is the highest number of rows in the answer.
	Limit    int
	Deadline time.Time
}

// SearchAnswer holds the merged rows of a search, the snapshot that they were
// computed on and the shards that answered. The data of each row is JSON.
type SearchAnswer struct {
	Snapshot model.Snapshot
	Coverage merge.Coverage
	Rows     []wire.Row
}

// CallRequest is a caller's call of one operation after validation.
type CallRequest struct {
	// RequestID is not unique among callers, see SearchRequest.
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

// CallAnswer holds the result of a call, which is JSON or empty.
type CallAnswer struct {
	Result []byte
}

// Gateway runs validated requests on the upstreams and answers by the request's
// Deadline. Every error is an *errs.Refusal. The context ends when the caller
// disconnects, or AnswerGrace after the deadline.
type Gateway interface {
	Search(ctx context.Context, r SearchRequest) (*SearchAnswer, error)
	Call(ctx context.Context, r CallRequest) (*CallAnswer, error)
}

// AnswerGrace is the time after a request's deadline at which its context
// ends, so that an answer that is ready at the deadline can still be written.
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

// AnonymousCaller is the name of a caller whose request has no header
// HeaderCaller.
const AnonymousCaller = "anonymous"

// MaxIdentifierBytes bounds the idempotency key, the caller's name and the
// request id.
const MaxIdentifierBytes = 200
