package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/relay"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// Header fields between VMs. They are removed before a request is sent to a replica.
const (
	// forwardedCaller is the address of the caller.
	forwardedCaller = "Nutmeghitch-Caller"
	// forwardedCutoff is the time, in milliseconds, after which an answer that lacks some
	// shards is better than a late one.
	forwardedCutoff = "Nutmeghitch-Cutoff-Ms"
	// forwardedVersion is the version of the configuration that the sender uses.
	forwardedVersion = "Nutmeghitch-Config-Version"
	// notTaken marks the response of a VM that takes no forwarded requests.
	notTaken = "Nutmeghitch-Not-Taken"
)

const (
	// maxHelperTries is the number of VMs to which a request is forwarded, one after the
	// other.
	maxHelperTries = 3
	// maxHelperConns bounds the connections to one of them.
	maxHelperConns = 16
	// maxOpenFrameBytes bounds the first message of a connection.
	maxOpenFrameBytes = 1 << 10
	// forwardHop is the time that an answer takes from one VM to another.
	forwardHop = 2 * time.Millisecond
)

// Helper is another VM that answers the requests of callers in place of this one.
type Helper struct {
	// Peer tells whether the VM takes requests.
	Peer *relay.Peer
	pool *exchange.Pool
}

// NewHelper returns a VM that listens at addr. self is the name of this VM.
func NewHelper(self, vm, domain, addr string, dial relay.DialFunc) *Helper {
	open := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if err := wire.Write(c, 0, &wire.ForwardOpen{VM: self, Reports: true, Tenants: true}, maxOpenFrameBytes); err != nil {
			_ = c.Close() // it is not used
			return nil, err
		}
		return c, nil
	}
	return &Helper{Peer: relay.NewPeer(vm, domain, addr, dial), pool: exchange.NewPool(open, addr, maxHelperConns)}
}

// Close closes the connections to the VM once they are idle.
func (h *Helper) Close() {
	h.Peer.Close()
	h.pool.Close()
}

// SetCutOff sets whether this VM reaches no replica, and the other VMs that may answer
// its callers meanwhile.
func (f *Forwarder) SetCutOff(cutOff bool, helpers []*Helper) {
	f.helpers.Store(&helpers)
	f.cutOff.Store(cutOff)
}

// LastAnswer returns how long ago a replica has answered a request that this VM sent to
// it itself.
func (f *Forwarder) LastAnswer(now time.Time) time.Duration {
	return now.Sub(f.started) - time.Duration(f.lastAnswer.Load())
}

// answerElsewhere lets another VM answer the request if this one reaches no replica. It
// reports false if none takes it.
func (q *query) answerElsewhere(caller context.Context) (*response, *errs.Refusal, bool) {
	if !q.forwarder.cutOff.Load() || q.forwarded {
		return nil, nil, false
	}
	stop := context.AfterFunc(caller, q.cancel)
	defer stop()
	end := context.AfterFunc(q.forwarder.stop.ctx, q.cancel)
	defer end()
	helpers := *q.forwarder.helpers.Load()
	tries := 0
	for _, i := range rand.Perm(len(helpers)) {
		h := helpers[i]
		if !h.Peer.Usable() || tries == maxHelperTries {
			continue
		}
		tries++
		if refusal := q.checkKey(time.Now()); refusal != nil {
			return nil, refusal, true
		}
		reply, stream, refusal := q.forwardTo(h)
		switch {
		case refusal == nil && reply.Header.Get(notTaken) == "":
			q.answeredBy = h.Peer.VM
			r := responseFrom(&reply)
			r.stream = stream
			q.takeReplicaReports(time.Now(), r, h.Peer.VM)
			if refusal := q.refusalInPlaceOf(&reply, fromOtherVM, "VM "+h.Peer.VM); refusal != nil {
				if stream != nil {
					stream.end(refusal)
				}
				return nil, refusal, true
			}
			return r, nil, true
		case refusal == nil:
			refusal = errs.Refuse(errs.Stopping, "%s", reply.Header.Get(notTaken))
		}
		q.forwarder.log.WithFields(logrus.Fields{"id": q.id, "vm": h.Peer.VM, "code": refusal.Code, "run_state": refusal.RunState, "detail": refusal.Detail}).Info("another VM did not answer a request")
		if q.ctx.Err() != nil {
			return nil, q.endedElsewhere(caller, refusal), true
		}
		h.Peer.Failed()
		if refusal.RunState == errs.MayHaveRun && !q.route.Idempotent {
			return nil, refusal, true
		}
	}
	return nil, nil, false
}

// endedElsewhere returns the refusal of a request whose caller has left, or whose time
// is over, while another VM had it.
func (q *query) endedElsewhere(caller context.Context, refusal *errs.Refusal) *errs.Refusal {
	ended := errs.Refuse(errs.DeadlineExceeded, "no answer in time")
	if caller.Err() != nil {
		ended = errs.Refuse(errs.Canceled, "the caller has left")
	}
	ended.RunState = refusal.RunState
	return ended
}

// forwardTo sends the request to another VM and returns its response, the rest of which
// may still be arriving.
func (q *query) forwardTo(h *Helper) (exchange.Reply, *responseStream, *errs.Refusal) {
	type result struct {
		reply   exchange.Reply
		stream  *responseStream
		refusal *errs.Refusal
	}
	results := make(chan result, 1)
	go func() {
		streaming := false
		call := exchange.Call{
			Method: q.method, Head: q.head, AppendFields: q.forwardFields, Body: q.body,
			IDHeader: q.forwarder.headers.RequestID, ID: q.id, Holding: q.holding,
			StreamResponse: func(reply exchange.Reply, rest io.Reader) error {
				streaming = true
				stream := newResponseStream(rest)
				results <- result{reply: reply, stream: stream}
				return stream.wait(q.ctx)
			},
		}
		if !q.route.Idempotent {
			call.MaxIdleTime = maxIdleNonIdempotent
		}
		reply, refusal := h.pool.Do(q.ctx, call)
		if !streaming {
			results <- result{reply: reply, refusal: refusal}
		}
	}()
	r := <-results
	return r.reply, r.stream, r.refusal
}

// forwardFields appends the header lines for another VM.
func (q *query) forwardFields(b []byte) []byte {
	b = appendMilliseconds(b, q.forwarder.headers.Deadline, time.Until(q.deadline))
	b = appendForwardedVersion(b, q.view.Table)
	if q.route.FanOut() {
		b = appendMilliseconds(b, forwardedCutoff, time.Until(q.start.Add(q.cutoff)))
	}
	return append(b, forwardedCaller+": "+q.caller+"\r\n"...)
}

// forwardedRequest is what another VM tells of a request that it forwards.
type forwardedRequest struct {
	// cutoff is 0 if the request has none.
	cutoff time.Duration
	// authenticated is set if the other VM has replaced the key by the tenant's name.
	authenticated bool
}

type forwardedKey struct{}

// forwardedFrom returns what another VM tells of a request, nil for one of a caller.
func forwardedFrom(ctx context.Context) *forwardedRequest {
	f, _ := ctx.Value(forwardedKey{}).(*forwardedRequest)
	return f
}

// ServeForwarded answers a request that another VM forwards for its caller.
func (f *Forwarder) ServeForwarded(w http.ResponseWriter, r *http.Request) {
	if reason := f.notTaking(lastValue(r.Header, forwardedVersion)); reason != "" {
		if id := r.Header.Get(f.headers.RequestID); id != "" {
			w.Header().Set(f.headers.RequestID, id)
		}
		w.Header().Set(notTaken, reason)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	forwarded := &forwardedRequest{authenticated: isAuthenticated(r)}
	if ms, err := strconv.ParseInt(lastValue(r.Header, forwardedCutoff), 10, 64); err == nil {
		forwarded.cutoff = max(time.Millisecond, time.Duration(ms)*time.Millisecond-forwardHop)
	}
	r.RemoteAddr = net.JoinHostPort(lastValue(r.Header, forwardedCaller), "0")
	for _, name := range []string{forwardedCaller, forwardedCutoff, forwardedVersion} {
		r.Header.Del(name)
	}
	f.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), forwardedKey{}, forwarded)))
}

// lastValue returns the last value of a header field: the sender appends its own.
func lastValue(h http.Header, name string) string {
	values := h.Values(name)
	if len(values) == 0 {
		return ""
	}
	return values[len(values)-1]
}

// notTaking returns why this VM takes no forwarded request of a VM that uses a version
// of the configuration, "" if it takes it.
func (f *Forwarder) notTaking(version string) string {
	view := f.view.Load()
	switch n, err := strconv.ParseUint(version, 10, 64); {
	case f.closeConnections.Load():
		return "it stops, or reaches no other failure domain"
	case f.cutOff.Load():
		return "it reaches no replica"
	case view == nil || err != nil || view.Table.Version < n:
		return "it does not know version " + version + " of the configuration"
	}
	return ""
}
