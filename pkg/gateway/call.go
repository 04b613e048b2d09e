package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/admission"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/frontend"
	"github.com/nutmeghitch/nutmeghitch/pkg/hedge"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/routing"
	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// Call answers a lookup request with the result of one replica.
func (g *Gateway) Call(ctx context.Context, r frontend.CallRequest) (*frontend.CallAnswer, error) {
	began := time.Now()
	_, svc, err := g.service(r.Service)
	if err != nil {
		return nil, err
	}
	op, ok := svc.Operations[r.Operation]
	if !ok || svc.Kind != model.Lookup {
		return nil, errs.Refuse(errs.UnknownOperation, "service %q has no operation %q", r.Service, r.Operation)
	}
	if !op.Idempotent && r.Key == "" {
		return nil, errs.Refuse(errs.KeyRequired, "operation %q needs an idempotency key", r.Operation)
	}
	fp := poison.Fingerprint(r.Service, r.Operation, r.Body)
	verdict, err := g.checkPoison(fp)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	release, err := g.admission.admit(ctx, admission.Request{
		Service:  r.Service,
		Class:    model.Lookup,
		Caller:   r.Caller,
		Deadline: r.Deadline,
	})
	if err != nil {
		return nil, err
	}
	c := &call{
		g:          g,
		id:         g.newQueryID(),
		req:        r,
		svc:        svc,
		fp:         fp,
		suspect:    verdict == poison.Suspect,
		idempotent: op.Idempotent,
		policy:     g.policy(r.Service, svc, 1),
		tried:      make(map[model.ReplicaID]bool),
	}
	defer func() { g.counters.latency.RecordDuration(time.Since(began)) }()
	if op.Idempotent {
		defer release()
		return c.runIdempotent(ctx)
	}
	return c.runOnce(ctx, release)
}

// call is the execution of one lookup request.
type call struct {
	g          *Gateway
	id         string
	req        frontend.CallRequest
	svc        *model.Service
	fp         uint64
	suspect    bool
	idempotent bool
	policy     *hedge.Policy
	tried      map[model.ReplicaID]bool
	// attempts counts the sends but for those to a VM that was not the owner.
	attempts uint32
	// lastAttempt numbers all sends.
	lastAttempt uint32
}

// callResult is the outcome of one attempt of a call.
type callResult struct {
	replica model.ReplicaID
	answer  []byte
	err     error
}

// runIdempotent sends the request, hedges it when it is slow, and retries it
// while that is legal and paid for.
func (c *call) runIdempotent(ctx context.Context) (*frontend.CallAnswer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan callResult, maxAttempts)
	running, hedged, mayHaveRun := 0, false, false
	launch := func(reason string) error {
		pick, err := c.pick(reason)
		if err != nil {
			return err
		}
		running++
		go func() { results <- c.attempt(ctx, pick, "") }()
		return nil
	}
	c.policy.RecordPrimarySends(1)
	if err := launch("primary"); err != nil {
		return nil, err
	}
	timer := time.NewTimer(c.policy.Delay())
	defer timer.Stop()
	var last error
	for {
		select {
		case res := <-results:
			running--
			if res.err == nil {
				return &frontend.CallAnswer{Result: res.answer}, nil
			}
			last = res.err
			mayHaveRun = mayHaveRun || errs.As(last).RunState == errs.MayHaveRun
			if c.blocked() {
				return nil, refusePoisoned(c.fp, errs.MayHaveRun)
			}
			if running > 0 {
				continue
			}
			if !c.mayRetry(res.err) || !wait.Sleep(ctx, c.backoff(res.err)) || launch(retryReason(res.err)) != nil {
				return nil, ambiguousIf(mayHaveRun, res.err)
			}
		case <-timer.C:
			if hedged || c.suspect || c.g.cfg.Policy.NoHedges || c.policy.TryTakeExtra(1) != nil {
				continue
			}
			hedged = true
			_ = launch("hedge")
		case <-ctx.Done():
			if last != nil && running == 0 {
				return nil, ambiguousIf(mayHaveRun, last)
			}
			return nil, errs.Ambiguous(errs.DeadlineExceeded, "no answer before the deadline")
		}
	}
}

func (c *call) blocked() bool {
	switch c.g.cfg.Ledger.Check(time.Now(), c.fp) {
	case poison.Blocked:
		return true
	case poison.Suspect:
		c.suspect = true
	}
	return false
}

// mayRetry charges a retry. A send that did not run added no load, and the
// first replacement of a lost send is always allowed.
func (c *call) mayRetry(err error) bool {
	if !hedge.RetryAllowed(err, c.idempotent) {
		return false
	}
	if hedge.Misrouted(err) {
		// Ownership can take seconds to settle after a VM was lost, so moves
		// do not count as attempts. The last one must end before the deadline.
		c.attempts--
		return time.Until(c.req.Deadline) > 2*moveDelay
	}
	if c.attempts >= maxAttempts {
		return false
	}
	if errs.As(err).RunState == errs.DidNotRun {
		return true
	}
	if c.attempts <= 1 {
		c.policy.ForceTakeExtra(1)
		return true
	}
	return c.policy.TryTakeExtra(1) == nil
}

// retryReason names a further send. Only one that replaces a send which may
// have run is extra load for the upstreams.
func retryReason(err error) string {
	if errs.As(err).RunState == errs.MayHaveRun {
		return "retry"
	}
	return "moved"
}

// backoff waits for ownership to settle, or for refusing replicas to recover.
func (c *call) backoff(err error) time.Duration {
	if hedge.Misrouted(err) {
		if len(c.tried) < len(c.holders(c.g.cfg.View.Current())) {
			return 0
		}
		clear(c.tried)
		return moveDelay
	}
	if int(c.attempts) >= len(c.holders(c.g.cfg.View.Current())) {
		clear(c.tried)
		return time.Duration(c.attempts) * exhaustedDelay
	}
	return 0
}

// holders returns the replicas of the newest shard map.
func (c *call) holders(v *model.View) []model.Replica {
	var newest *model.ShardMap
	for i := range c.svc.ShardMaps {
		if m := &c.svc.ShardMaps[i]; newest == nil || m.Epoch > newest.Epoch {
			newest = m
		}
	}
	if newest == nil {
		return nil
	}
	var out []model.Replica
	for _, g := range newest.Groups {
		for _, r := range g.Replicas {
			if !v.Replicas[r.ID].Down {
				out = append(out, r)
			}
		}
	}
	return out
}

// picked is the replica chosen for an attempt and its owner.
type picked struct {
	replica model.ReplicaID
	owner   model.VM
	attempt uint32
}

func (c *call) pick(reason string) (picked, error) {
	v := c.g.cfg.View.Current()
	candidates := c.g.candidates(v, c.holders(v), c.tried, make([]routing.Candidate, 0, 32))
	choice, ok := c.g.table.Pick(time.Now(), candidates)
	if !ok {
		return picked{}, errs.Refuse(errs.NoReplica, "service %s has no replica for new work", c.req.Service).WithRetryAfter(time.Second)
	}
	c.tried[choice.Replica] = true
	c.attempts++
	c.lastAttempt++
	p := picked{replica: choice.Replica, owner: v.VMs[v.Owners[choice.Replica]], attempt: c.lastAttempt}
	c.countSend(reason)
	c.g.cfg.Log.WithFields(logrus.Fields{
		"query": c.id, "request": c.req.RequestID, "choice": p.replica, "owner": p.owner.ID, "reason": reason, "expected": choice.Expected,
	}).Info("Routed call.")
	return p, nil
}

func (c *call) countSend(reason string) {
	switch reason {
	case "hedge":
		c.g.counters.hedges.inc(1)
	case "retry":
		c.g.counters.retries.inc(1)
	case "moved":
		c.g.counters.moves.inc(1)
	default:
		c.g.counters.primaries.inc(1)
	}
}

// attempt sends the request to one replica through its owner.
func (c *call) attempt(ctx context.Context, p picked, token string) callResult {
	began := time.Now()
	c.g.table.Sent(began, p.replica)
	reply, err := c.exchange(ctx, p, token)
	now := time.Now()
	if err == nil {
		err = reply.Failure.Err()
	}
	switch {
	case err == nil:
		c.g.table.Completed(now, p.replica, now.Sub(began), reply.Hint)
		c.policy.Observe(now.Sub(began))
		c.g.cfg.Ledger.RecordSuccess(now, c.fp)
		return callResult{replica: p.replica, answer: reply.Result}
	case errs.Is(err, errs.Canceled):
		c.g.table.CanceledAfter(now, p.replica, now.Sub(began))
	default:
		c.g.table.Failed(now, p.replica, errs.As(err).Code)
	}
	return callResult{replica: p.replica, err: err}
}

func (c *call) exchange(ctx context.Context, p picked, token string) (*wire.CallReply, error) {
	m := &wire.CallRequest{
		RequestID:   c.id,
		Attempt:     p.attempt,
		Service:     c.req.Service,
		Operation:   c.req.Operation,
		Replica:     p.replica,
		Remaining:   time.Until(c.req.Deadline),
		Payload:     c.req.Body,
		Token:       token,
		Fingerprint: c.fp,
		Suspect:     c.suspect,
		Idempotent:  c.idempotent,
		Caller:      c.req.Caller,
	}
	if p.owner.ID == c.g.cfg.Self.ID {
		return c.g.cfg.LocalDispatcher.Call(ctx, m), nil
	}
	stream, err := c.g.cfg.Transport.Open(ctx, p.owner, m)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	reply, err := stream.Recv(ctx)
	if err != nil {
		return nil, err
	}
	switch r := reply.(type) {
	case *wire.CallReply:
		if r.RequestID != c.id {
			return nil, errs.Ambiguous(errs.ResponseMismatch, "reply to another request")
		}
		return r, nil
	case *wire.Failure:
		return nil, r.Err()
	}
	return nil, errs.Ambiguous(errs.FrameMalformed, "message kind %d in reply to a call", reply.Kind())
}
