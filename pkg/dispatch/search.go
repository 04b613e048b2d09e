package dispatch

import (
	"context"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/merge"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/upstream"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// minPartialInterval is the shortest time between two partials of one batch. The
// result of the first attempt that ends is sent at once, so that a batch of a lightly
// loaded service has no added latency.
const minPartialInterval = time.Millisecond

// endedAttempt is the result of one attempt of a batch.
type endedAttempt struct {
	item wire.SearchItem
	result
}

// batchRun is the state of a SearchBatch that is being executed.
type batchRun struct {
	batch   *wire.SearchBatch
	order   []model.OrderKey
	done    chan endedAttempt
	cancels map[uint32]context.CancelFunc
	reply   func(*wire.SearchPartial) error
	pending int
}

// Search runs the attempts of a batch concurrently and replies with partials until
// every attempt has ended. CancelAttempts messages on in cancel single attempts; the
// end of ctx cancels all.
func (d *Dispatcher) Search(ctx context.Context, b *wire.SearchBatch, in <-chan wire.Message, reply func(*wire.SearchPartial) error) {
	deadline := d.cfg.Now().Add(b.Remaining)
	groups, order := d.groupsOf(b)
	run := &batchRun{
		batch:   b,
		order:   order,
		done:    make(chan endedAttempt, len(b.Items)),
		cancels: make(map[uint32]context.CancelFunc, len(b.Items)),
		reply:   reply,
		pending: len(b.Items),
	}
	for _, item := range b.Items {
		itemCtx, cancel := context.WithCancel(ctx)
		run.cancels[item.Attempt] = cancel
		go func() {
			defer cancel()
			run.done <- endedAttempt{item: item, result: d.runAttempt(itemCtx, searchAttempt(b, item, groups[item.Group], deadline))}
		}()
	}
	run.collectResults(ctx, in)
}

func searchAttempt(b *wire.SearchBatch, item wire.SearchItem, g model.Group, deadline time.Time) attempt {
	return attempt{
		replica:     item.Replica,
		fingerprint: b.Fingerprint,
		proven:      b.Proven,
		suspect:     b.Suspect,
		caller:      b.Caller,
		request: upstream.RunRequest{
			RequestID: b.QueryID + "." + string(item.Group) + "." + strconv.FormatUint(uint64(item.Attempt), 10),
			Service:   b.Service,
			Operation: b.Operation,
			Snapshot:  b.Snapshot,
			Shards:    g.Shards,
			Deadline:  deadline,
			Payload:   b.Payload,
			RowLimit:  b.Limit,
		},
	}
}

// groupsOf returns the groups of the shard map that the batch names by its epoch, and
// the order of the service's rows. If this VM does not know the epoch, there are no
// groups, and the attempts fail the check of the shards in the response.
func (d *Dispatcher) groupsOf(b *wire.SearchBatch) (map[model.GroupID]model.Group, []model.OrderKey) {
	v := d.cfg.View.Current()
	if v.Config == nil || v.Config.Services[b.Service] == nil {
		return nil, nil
	}
	return d.groupIndexOf(v.Config).groups[shardMapKey{b.Service, b.Snapshot.Epoch}], v.Config.Services[b.Service].Order
}

// collectResults replies with the results of ended attempts, at once for the first and
// then at most once in each minPartialInterval, and cancels attempts on request.
func (r *batchRun) collectResults(ctx context.Context, in <-chan wire.Message) {
	var (
		ready []endedAttempt
		timer = time.NewTimer(time.Hour)
		last  time.Time
		armed bool
	)
	defer timer.Stop()
	for r.pending > 0 {
		select {
		case f := <-r.done:
			r.pending--
			ready = append(ready, f)
			if r.pending > 0 && time.Since(last) < minPartialInterval {
				if !armed {
					timer.Reset(minPartialInterval - time.Since(last))
					armed = true
				}
				continue
			}
		case <-timer.C:
			armed = false
		case m, ok := <-in:
			if !ok {
				in = nil
				continue
			}
			r.cancel(m)
			continue
		}
		if len(ready) == 0 {
			continue
		}
		if r.sendPartial(ready) != nil {
			r.cancelAll()
		}
		ready, last = nil, time.Now()
	}
}

// cancel cancels the attempts that m names if it is a CancelAttempts message.
func (r *batchRun) cancel(m wire.Message) {
	c, ok := m.(*wire.CancelAttempts)
	if !ok {
		return
	}
	for _, a := range c.Attempts {
		if stop := r.cancels[a]; stop != nil {
			stop()
		}
	}
}

func (r *batchRun) cancelAll() {
	for _, stop := range r.cancels {
		stop()
	}
}

// sendPartial replies with the results of the given attempts. The rows of several
// are merged and cut to the limit of the batch.
func (r *batchRun) sendPartial(ready []endedAttempt) error {
	p := &wire.SearchPartial{QueryID: r.batch.QueryID, Last: r.pending == 0}
	for _, f := range ready {
		p.Groups = append(p.Groups, groupOutcome(f))
		if f.err == nil {
			p.Rows = appendRows(p.Rows, f)
		}
	}
	if len(ready) > 1 {
		p.Rows = merge.MergeRows(p.Rows, r.order, r.batch.Limit)
	}
	return r.reply(p)
}

func groupOutcome(f endedAttempt) wire.GroupOutcome {
	o := wire.GroupOutcome{
		Group:       f.item.Group,
		Replica:     f.item.Replica,
		Attempt:     f.item.Attempt,
		Failure:     wire.FailureOf(f.err),
		Hint:        f.hint,
		ServiceTime: f.serviceTime,
	}
	if f.err == nil {
		o.Shards = f.response.Shards
	}
	return o
}

func appendRows(rows []wire.Row, f endedAttempt) []wire.Row {
	for _, r := range f.response.Rows {
		rows = append(rows, wire.Row{Group: f.item.Group, Key: r.Key, Data: r.Data})
	}
	return rows
}

// upstreamRequestID returns the request ID that the upstream gets. All attempts under
// one claim have the same ID, which is its token. The token is raw bytes, which JSON
// would change, and therefore in hexadecimal.
func upstreamRequestID(r *wire.CallRequest) string {
	if r.Token != "" {
		return hex.EncodeToString([]byte(r.Token))
	}
	return r.RequestID + "." + strconv.FormatUint(uint64(r.Attempt), 10)
}

// Call runs a lookup operation at one replica.
func (d *Dispatcher) Call(ctx context.Context, r *wire.CallRequest) *wire.CallReply {
	res := d.runAttempt(ctx, attempt{
		replica:     r.Replica,
		fingerprint: r.Fingerprint,
		suspect:     r.Suspect,
		caller:      r.Caller,
		request: upstream.RunRequest{
			RequestID: upstreamRequestID(r),
			Service:   r.Service,
			Operation: r.Operation,
			Deadline:  d.cfg.Now().Add(r.Remaining),
			Payload:   r.Payload,
		},
	})
	reply := &wire.CallReply{
		RequestID:   r.RequestID,
		Failure:     wire.FailureOf(res.err),
		Hint:        res.hint,
		ServiceTime: res.serviceTime,
	}
	if res.err == nil {
		reply.Result = res.response.Result
	}
	return reply
}

// HandlePeer serves the SearchBatch and CallRequest messages of other VMs.
func (d *Dispatcher) HandlePeer(ctx context.Context, _ model.VMID, first wire.Message, in <-chan wire.Message, reply func(wire.Message) error) {
	switch m := first.(type) {
	case *wire.SearchBatch:
		d.Search(ctx, m, in, func(p *wire.SearchPartial) error { return reply(p) })
	case *wire.CallRequest:
		// The loss of the peer must not cancel a non-idempotent operation: the
		// upstream can still complete it and record its outcome.
		if !m.Idempotent {
			ctx = context.WithoutCancel(ctx)
		}
		_ = reply(d.Call(ctx, m))
	default:
		_ = reply(wire.FailureOf(errs.Refuse(errs.FrameMalformed, "message kind %d is not served here", first.Kind())))
	}
}
