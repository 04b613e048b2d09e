package frontend

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/textproto"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// identifierHeader returns the value of a header that identifies a request, a
// caller or a key, or "" without the header. Given twice, empty, longer than
// MaxIdentifierBytes or with other than printable ASCII it is refused.
func identifierHeader(h http.Header, header string) (string, error) {
	values := h[textproto.CanonicalMIMEHeaderKey(header)]
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", errs.Refuse(errs.InvalidRequest, "header %s is given %d times", header, len(values))
	}
	v := values[0]
	if len(v) == 0 || len(v) > MaxIdentifierBytes {
		return "", errs.Refuse(errs.InvalidRequest, "header %s has %d bytes, allowed are 1 to %d", header, len(v), MaxIdentifierBytes)
	}
	for _, c := range []byte(v) {
		if c < ' ' || c > '~' {
			return "", errs.Refuse(errs.InvalidRequest, "header %s has characters outside printable ASCII", header)
		}
	}
	return v, nil
}

// idempotencyKey returns the request's idempotency key and refuses a request
// without one to an operation that is not idempotent.
func idempotencyKey(h http.Header, op model.Operation) (string, error) {
	key, err := identifierHeader(h, HeaderIdempotencyKey)
	if err != nil {
		return "", err
	}
	if key == "" && !op.Idempotent {
		return "", errs.Refuse(errs.KeyRequired, "the operation is not idempotent and needs the header %s", HeaderIdempotencyKey)
	}
	return key, nil
}

// requestDeadline returns the request's deadline, counted from the arrival of
// its headers. A deadline above the service's maximum is refused, because
// a shortened one would make the answer come earlier than the caller expects.
func requestDeadline(x *httpExchange, svc *model.Service) (time.Time, error) {
	values := x.r.Header[textproto.CanonicalMIMEHeaderKey(HeaderDeadlineMS)]
	if len(values) == 0 {
		return x.arrived.Add(svc.DefaultDeadline()), nil
	}
	ms, err := strconv.ParseInt(values[0], 10, 64)
	if len(values) > 1 || err != nil || ms < 1 || ms > svc.MaxDeadlineMS {
		return time.Time{}, errs.Refuse(errs.InvalidRequest,
			"header %s must be one whole number of milliseconds from 1 to %d", HeaderDeadlineMS, svc.MaxDeadlineMS)
	}
	return x.arrived.Add(time.Duration(ms) * time.Millisecond), nil
}

// readBody reads the whole body. It refuses a body that has not arrived by the
// earlier of the read timeout and the request's deadline.
func (h *callers) readBody(x *httpExchange, deadline time.Time) ([]byte, error) {
	readBy := x.arrived.Add(h.ReadTimeout)
	if deadline.Before(readBy) {
		readBy = deadline
	}
	_ = http.NewResponseController(x.w).SetReadDeadline(readBy)
	if x.r.ContentLength > h.MaxBodyBytes {
		return nil, errs.Refuse(errs.TooLarge, "the body has more than %d bytes", h.MaxBodyBytes)
	}
	body, err := exchange.ReadBody(http.MaxBytesReader(x.w, x.r.Body, h.MaxBodyBytes), x.r.ContentLength, int(h.MaxBodyBytes), x.body)
	if err != nil {
		return nil, bodyRefusal(err, h.MaxBodyBytes)
	}
	return body, nil
}

// bodyRefusal returns the refusal for a failed read of a body that may have up
// to maxBytes.
func bodyRefusal(err error, maxBytes int64) *errs.Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return errs.Refuse(errs.TooLarge, "the body has more than %d bytes", maxBytes)
	case errs.Is(err, errs.MemoryLimit):
		return errs.Refuse(errs.MemoryLimit, "no memory is left for the body").WithRetryAfter(bodyMemoryRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errs.Refuse(errs.DeadlineExceeded, "the body did not arrive in time")
	default:
		return errs.Refuse(errs.InvalidRequest, "the body cannot be read")
	}
}

// searchBody is the JSON body of a search. Absent fields are nil.
type searchBody struct {
	Query     json.RawMessage `json:"query"`
	Limit     *int            `json:"limit"`
	Operation *string         `json:"operation"`
}

// decodeSearchBody sets the query, operation and limit of request from the
// body, with the service's defaults for absent fields.
func decodeSearchBody(body []byte, svc *model.Service, request *SearchRequest) error {
	var b searchBody
	if err := decodeStrict(body, &b); err != nil {
		return err
	}
	if b.Query == nil {
		return errs.Refuse(errs.InvalidRequest, "the field \"query\" is missing")
	}
	request.Query = b.Query
	request.Operation = DefaultOperation
	if b.Operation != nil {
		request.Operation = *b.Operation
	}
	op, ok := svc.Operations[request.Operation]
	if !ok {
		return errs.Refuse(errs.UnknownOperation, "the service has no operation %q", request.Operation)
	}
	if !op.Idempotent {
		return errs.Refuse(errs.InvalidRequest, "operation %q is not idempotent and cannot be sent to all shards", request.Operation)
	}
	request.Limit = svc.Limit
	if b.Limit == nil {
		return nil
	}
	if *b.Limit < 1 || (svc.Limit > 0 && *b.Limit > svc.Limit) {
		return errs.Refuse(errs.InvalidRequest, "the field \"limit\" must be from 1 to %d", svc.Limit)
	}
	request.Limit = *b.Limit
	return nil
}

// decodeStrict decodes one JSON object. It refuses data after the object, and
// unknown fields, so that a misspelt "limit" is not ignored.
func decodeStrict(body []byte, into any) error {
	if err := checkObject(body); err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return errs.Refuse(errs.InvalidRequest, "the body is malformed: %v", err)
	}
	return nil
}

// checkObject refuses a body that is not exactly one JSON object.
func checkObject(body []byte) error {
	trimmed := bytes.TrimLeft(body, " \t\r\n")
	if len(trimmed) == 0 || trimmed[0] != '{' || !json.Valid(body) {
		return errs.Refuse(errs.InvalidRequest, "the body is not one JSON object")
	}
	return nil
}
