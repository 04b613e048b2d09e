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
	fingerprint := poison.Fingerprint(r.Service, r.Operation, r.Body)
	verdict, err := g.checkPoison(fingerprint)
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
	c := &lookupCall{
		g:           g,
		id:          g.newQueryID(),
		req:         r,
		svc:         svc,
		fingerprint: fingerprint,
		suspect:     verdict == poison.Suspect,
		idempotent:  op.Idempotent,
		hedgePolicy: g.hedgePolicyFor(r.Service, svc, 1),
		tried:       make(map[model.ReplicaID]bool),
	}
	defer func() { g.counters.answerLatency.RecordDuration(time.Since(began)) }()
	if op.Idempotent {
		defer release()
		return c.runIdempotent(ctx)
	}
	return c.runClaimed(ctx, release)
}

// lookupCall is the execution of one lookup request.
type lookupCall struct {
	g           *Gateway
	id          string
	req         frontend.CallRequest
	svc         *model.Service
	fingerprint uint64
	suspect     bool
	idempotent  bool
	hedgePolicy *hedge.Policy
	tried       map[model.ReplicaID]bool
	// attempts is the number of attempts, without those that reached a VM that
	// does not own the replica.
	attempts uint32
	// lastAttemptNumber is the number of the last attempt. It counts all of them.
	lastAttemptNumber uint32
}

// attemptResult is the outcome of one attempt of a call.
type attemptResult struct {
	replica model.ReplicaID
	answer  []byte
	err     error
}

// runIdempotent sends the request, sends a hedge when the first attempt is slow,
// and retries a failed attempt while the kind of failure and the extra-load
// budget allow it.
func (c *lookupCall) runIdempotent(ctx context.Context) (*frontend.CallAnswer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attemptResult, maxAttempts)
	running, hedged, mayHaveRun := 0, false, false
	launch := func(reason string) error {
		target, err := c.pickTarget(reason)
		if err != nil {
			return err
		}
		running++
		go func() { results <- c.attempt(ctx, target, "") }()
		return nil
	}
	c.hedgePolicy.RecordPrimarySends(1)
	if err := launch("primary"); err != nil {
		return nil, err
	}
	timer := time.NewTimer(c.hedgePolicy.Delay())
	defer timer.Stop()
	var lastErr error
	for {
		select {
		case res := <-results:
			running--
			if res.err == nil {
				return &frontend.CallAnswer{Result: res.answer}, nil
			}
			lastErr = res.err
			mayHaveRun = mayHaveRun || errs.As(lastErr).RunState == errs.MayHaveRun
			if c.recheckPoison() {
				return nil, refusePoisoned(c.fingerprint, errs.MayHaveRun)
			}
			if running > 0 {
				continue
			}
			if !c.chargeRetry(res.err) || !wait.Sleep(ctx, c.backoff(res.err)) || launch(resendReason(res.err)) != nil {
				return nil, mergeRunState(mayHaveRun, res.err)
			}
		case <-timer.C:
			if hedged || c.suspect || c.g.cfg.Policy.NoHedges || c.hedgePolicy.TryTakeExtra(1) != nil {
				continue
			}
			hedged = true
			_ = launch("hedge")
		case <-ctx.Done():
			if lastErr != nil && running == 0 {
				return nil, mergeRunState(mayHaveRun, lastErr)
			}
			return nil, errs.Ambiguous(errs.DeadlineExceeded, "no answer before the deadline")
		}
	}
}

// recheckPoison reads the verdict on the request again after an attempt failed.
// It reports whether the request is now blocked.
func (c *lookupCall) recheckPoison() bool {
	switch c.g.cfg.Ledger.Check(time.Now(), c.fingerprint) {
	case poison.Blocked:
		return true
	case poison.Suspect:
		c.suspect = true
	}
	return false
}

// chargeRetry reports whether a failed attempt may be sent again, and takes the
// retry from the extra-load budget. An attempt that did not run has added no
// load and is free. The first replacement of an attempt that may have run is
// always allowed.
func (c *lookupCall) chargeRetry(err error) bool {
	if !hedge.RetryAllowed(err, c.idempotent) {
		return false
	}
	if hedge.Misrouted(err) {
		// It can take seconds until all VMs agree on the owners after a VM was
		// lost, so misrouted sends do not count as attempts. The next one must have
		// time to finish before the deadline.
		c.attempts--
		return time.Until(c.req.Deadline) > 2*misroutedDelay
	}
	if c.attempts >= maxAttempts {
		return false
	}
	if errs.As(err).RunState == errs.DidNotRun {
		return true
	}
	if c.attempts <= 1 {
		c.hedgePolicy.ForceTakeExtra(1)
		return true
	}
	return c.hedgePolicy.TryTakeExtra(1) == nil
}

// resendReason returns the reason under which the replacement of a failed attempt
// is counted. It is a retry, which is extra load for the upstreams, only if the
// failed attempt may have run.
func resendReason(err error) string {
	if errs.As(err).RunState == errs.MayHaveRun {
		return "retry"
	}
	return "moved"
}

// backoff returns the time to wait before an attempt is sent again. It is not 0
// once every replica was tried: the owners need time to agree on the ownership,
// or the replicas need time to recover.
func (c *lookupCall) backoff(err error) time.Duration {
	if hedge.Misrouted(err) {
		if len(c.tried) < len(c.upReplicas(c.g.cfg.View.Current())) {
			return 0
		}
		clear(c.tried)
		return misroutedDelay
	}
	if int(c.attempts) >= len(c.upReplicas(c.g.cfg.View.Current())) {
		clear(c.tried)
		return time.Duration(c.attempts) * allTriedDelay
	}
	return 0
}

// upReplicas returns the replicas of the newest shard map that are not down.
func (c *lookupCall) upReplicas(v *model.View) []model.Replica {
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

// attemptTarget is the replica that was picked for an attempt, and its owner.
type attemptTarget struct {
	replica model.ReplicaID
	owner   model.VM
	attempt uint32
}

// pickTarget picks a replica that was not tried yet for the next attempt, and
// counts and logs the attempt.
func (c *lookupCall) pickTarget(reason string) (attemptTarget, error) {
	v := c.g.cfg.View.Current()
	candidates := c.g.candidates(v, c.upReplicas(v), c.tried, make([]routing.Candidate, 0, 32))
	choice, ok := c.g.routingTable.Pick(time.Now(), candidates)
	if !ok {
		return attemptTarget{}, errs.Refuse(errs.NoReplica, "service %s has no replica for new work", c.req.Service).WithRetryAfter(time.Second)
	}
	c.tried[choice.Replica] = true
	c.attempts++
	c.lastAttemptNumber++
	p := attemptTarget{replica: choice.Replica, owner: v.VMs[v.Owners[choice.Replica]], attempt: c.lastAttemptNumber}
	c.countSend(reason)
	c.g.cfg.Log.WithFields(logrus.Fields{
		"query": c.id, "request": c.req.RequestID, "choice": p.replica, "owner": p.owner.ID, "reason": reason, "expected": choice.Expected,
	}).Info("call sent to the owner of a replica")
	return p, nil
}

func (c *lookupCall) countSend(reason string) {
	switch reason {
	case "hedge":
		c.g.counters.hedgeSends.inc(1)
	case "retry":
		c.g.counters.retrySends.inc(1)
	case "moved":
		c.g.counters.movedSends.inc(1)
	default:
		c.g.counters.primarySends.inc(1)
	}
}

// attempt sends the request to one replica through its owner, waits for the
// reply, and records the outcome. token is the claim token; it is empty for an
// idempotent request.
func (c *lookupCall) attempt(ctx context.Context, p attemptTarget, token string) attemptResult {
	began := time.Now()
	c.g.routingTable.Sent(began, p.replica)
	reply, err := c.exchange(ctx, p, token)
	now := time.Now()
	if err == nil {
		err = reply.Failure.Err()
	}
	switch {
	case err == nil:
		c.g.routingTable.Completed(now, p.replica, now.Sub(began), reply.Hint)
		c.hedgePolicy.Observe(now.Sub(began))
		c.g.cfg.Ledger.RecordSuccess(now, c.fingerprint)
		return attemptResult{replica: p.replica, answer: reply.Result}
	case errs.Is(err, errs.Canceled):
		c.g.routingTable.CanceledAfter(now, p.replica, now.Sub(began))
	default:
		c.g.routingTable.Failed(now, p.replica, errs.As(err).Code)
	}
	return attemptResult{replica: p.replica, err: err}
}

// exchange sends the request to the owner of a replica, which may be this VM, and
// returns the owner's reply.
func (c *lookupCall) exchange(ctx context.Context, p attemptTarget, token string) (*wire.CallReply, error) {
	m := &wire.CallRequest{
		RequestID:   c.id,
		Attempt:     p.attempt,
		Service:     c.req.Service,
		Operation:   c.req.Operation,
		Replica:     p.replica,
		Remaining:   time.Until(c.req.Deadline),
		Payload:     c.req.Body,
		Token:       token,
		Fingerprint: c.fingerprint,
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
