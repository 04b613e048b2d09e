package frontend

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// DefaultMaxBodyBytes is the default bound on a request's body. It leaves room for
// the other fields in a traffic frame of 4 MiB.
const DefaultMaxBodyBytes = 1 << 20

// bodyMemoryBytes bounds the bodies of all requests together, beyond 8 KB of each. It is
// 32 bodies of the default limit, each held from its arrival to the answer.
const bodyMemoryBytes = 32 << 20

// bodyMemoryRetryAfter is the Retry-After of requests whose body finds no memory: those
// before it are answered, or time out, within seconds.
const bodyMemoryRetryAfter = time.Second

// DefaultReadTimeout bounds the time that a caller takes to send a body.
const DefaultReadTimeout = 10 * time.Second

// DefaultWriteTimeout bounds the time that a caller takes to read an answer.
const DefaultWriteTimeout = 10 * time.Second

// CallersConfig configures the callers' handler.
type CallersConfig struct {
	Gateway Gateway
	View    model.ViewSource
	Log     logrus.FieldLogger
	// MaxBodyBytes, ReadTimeout and WriteTimeout take their defaults when 0.
	MaxBodyBytes int64
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
	// NewRequestID returns an id for a request whose caller sent none. It
	// defaults to a random UUID.
	NewRequestID func() string
}

// callers is the handler of the callers' interface.
type callers struct {
	CallersConfig
	bodies *exchange.Memory
}

// NewCallers returns the handler of the callers' interface.
func NewCallers(c CallersConfig) http.Handler {
	if c.MaxBodyBytes == 0 {
		c.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if c.ReadTimeout == 0 {
		c.ReadTimeout = DefaultReadTimeout
	}
	if c.WriteTimeout == 0 {
		c.WriteTimeout = DefaultWriteTimeout
	}
	if c.NewRequestID == nil {
		c.NewRequestID = uuid.NewString
	}
	h := &callers{CallersConfig: c, bodies: exchange.NewMemory(bodyMemoryBytes)}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/search/{service}", h.handlePost(h.search))
	mux.HandleFunc("/v1/call/{service}/{operation}", h.handlePost(h.call))
	mux.HandleFunc("/", h.unknownPath)
	return mux
}

// httpExchange is one request and the writer of its answer.
type httpExchange struct {
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	// id is the request id.
	id     string
	caller string
	// body is what the body takes of the memory for bodies.
	body *exchange.Holding
}

// handlePost returns a handler that serves POST requests with serve and writes
// its error as a refusal.
func (h *callers) handlePost(serve func(x *httpExchange) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &httpExchange{w: w, r: r, arrived: time.Now(), body: h.bodies.NewHolding()}
		defer x.body.End()
		defer h.recoverPanic(x)
		// The write deadline of a connection stays in force for its next
		// request, so each request sets its own.
		_ = http.NewResponseController(w).SetWriteDeadline(x.arrived.Add(h.ReadTimeout + h.WriteTimeout))
		if err := h.serveRequest(x, serve); err != nil {
			writeRefusal(w, x.id, errs.As(err), 0)
		}
	}
}

// serveRequest calls serve for a POST request on a connection within the limit
// and refuses the others.
func (h *callers) serveRequest(x *httpExchange, serve func(x *httpExchange) error) error {
	if err := h.readIdentifiers(x); err != nil {
		return err
	}
	if x.r.Method != http.MethodPost {
		x.w.Header().Set("Allow", http.MethodPost)
		refusal := errs.Refuse(errs.InvalidRequest, "method %s is not allowed, use POST", x.r.Method)
		writeRefusal(x.w, x.id, refusal, http.StatusMethodNotAllowed)
		return nil
	}
	if isOverLimit(x.r.Context()) {
		x.w.Header().Set("Connection", "close")
		return errs.Refuse(errs.Overloaded, "too many connections").WithRetryAfter(time.Second)
	}
	return serve(x)
}

// recoverPanic refuses a request whose handler panicked, where net/http would
// close the connection without an answer. The request may have run.
func (h *callers) recoverPanic(x *httpExchange) {
	p := recover()
	if p == nil {
		return
	}
	h.Log.Errorf("frontend: panic while serving request %s, refused with code internal: %v\n%s", x.id, p, debug.Stack())
	writeRefusal(x.w, x.id, errs.Ambiguous(errs.Internal, "internal error"), 0)
}

// unknownPath refuses a request to a path that is not served.
func (h *callers) unknownPath(w http.ResponseWriter, r *http.Request) {
	x := &httpExchange{w: w, r: r, arrived: time.Now()}
	if err := h.readIdentifiers(x); err != nil {
		writeRefusal(w, x.id, errs.As(err), 0)
		return
	}
	writeRefusal(w, x.id, errs.Refuse(errs.InvalidRequest, "unknown path"), http.StatusNotFound)
}

// readIdentifiers sets the request id and the caller from the headers. The
// request id is set even when it returns an error, so that the refusal has one.
func (h *callers) readIdentifiers(x *httpExchange) error {
	id, err := identifierHeader(x.r.Header, HeaderRequestID)
	if err != nil {
		x.id = h.NewRequestID()
		return err
	}
	x.id = id
	if id == "" {
		x.id = h.NewRequestID()
	}
	x.caller, err = identifierHeader(x.r.Header, HeaderCaller)
	if x.caller == "" {
		x.caller = AnonymousCaller
	}
	return err
}

func (h *callers) search(x *httpExchange) error {
	id, svc, err := h.lookUpService(x, model.Search)
	if err != nil {
		return err
	}
	deadline, err := requestDeadline(x, svc)
	if err != nil {
		return err
	}
	body, err := h.readBody(x, deadline)
	if err != nil {
		return err
	}
	request := SearchRequest{RequestID: x.id, Caller: x.caller, Service: id, Deadline: deadline}
	if err := decodeSearchBody(body, svc, &request); err != nil {
		return err
	}
	ctx, cancel := h.answerContext(x, deadline)
	defer cancel()
	answer, err := h.Gateway.Search(ctx, request)
	if err != nil {
		return err
	}
	return writeSearchAnswer(x, answer)
}

func (h *callers) call(x *httpExchange) error {
	id, svc, err := h.lookUpService(x, model.Lookup)
	if err != nil {
		return err
	}
	operation := x.r.PathValue("operation")
	op, ok := svc.Operations[operation]
	if !ok {
		return errs.Refuse(errs.UnknownOperation, "service %q has no operation %q", id, operation)
	}
	key, err := idempotencyKey(x.r.Header, op)
	if err != nil {
		return err
	}
	deadline, err := requestDeadline(x, svc)
	if err != nil {
		return err
	}
	body, err := h.readBody(x, deadline)
	if err != nil {
		return err
	}
	if err := checkObject(body); err != nil {
		return err
	}
	ctx, cancel := h.answerContext(x, deadline)
	defer cancel()
	answer, err := h.Gateway.Call(ctx, CallRequest{
		RequestID: x.id, Caller: x.caller, Service: id, Operation: operation, Key: key, Body: body, Deadline: deadline,
	})
	if err != nil {
		return err
	}
	return writeCallAnswer(x, answer)
}

// answerContext returns the context of the gateway's work, which ends
// AnswerGrace after the deadline. It moves the connection's write deadline to
// WriteTimeout after that.
func (h *callers) answerContext(x *httpExchange, deadline time.Time) (context.Context, context.CancelFunc) {
	_ = http.NewResponseController(x.w).SetWriteDeadline(deadline.Add(AnswerGrace + h.WriteTimeout))
	return context.WithDeadline(x.r.Context(), deadline.Add(AnswerGrace))
}

// lookUpService returns the service of the request's path and refuses one of
// another kind.
func (h *callers) lookUpService(x *httpExchange, kind model.ServiceKind) (model.ServiceID, *model.Service, error) {
	doc := h.View.Current().Config
	if doc == nil {
		return "", nil, errs.Refuse(errs.NotReady, "no configuration yet").WithRetryAfter(time.Second)
	}
	id := model.ServiceID(x.r.PathValue("service"))
	svc := doc.Services[id]
	if svc == nil {
		return "", nil, errs.Refuse(errs.UnknownService, "no service %q", id)
	}
	if svc.Kind != kind {
		return "", nil, errs.Refuse(errs.UnknownService, "%q is not a %s service", id, kind)
	}
	return id, svc, nil
}
