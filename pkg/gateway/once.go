package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/claim"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/frontend"
	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
	"github.com/sirupsen/logrus"
)

// recordGrace is how long the outcome of a non-idempotent run may still be
// recorded after the caller's deadline has passed.
const recordGrace = 30 * time.Second

// runOnce runs a non-idempotent request under a claim. The run and the record
// of its outcome go on when the caller leaves or the deadline passes, so that
// a repeat with the same key finds the outcome.
func (c *call) runOnce(ctx context.Context, release func()) (*frontend.CallAnswer, error) {
	grant, prior, err := c.g.cfg.Claims.Claim(ctx, claim.Request{
		Service:     c.req.Service,
		Key:         c.req.Operation + "/" + c.req.Key,
		Fingerprint: c.fp,
		Deadline:    c.req.Deadline,
	})
	if err != nil || prior != nil {
		release()
		return priorAnswer(prior, err)
	}
	type outcome struct {
		answer *frontend.CallAnswer
		err    error
	}
	done := make(chan outcome, 1)
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.req.Deadline.Add(recordGrace))
	go func() {
		defer cancel()
		defer release()
		answer, err := c.executeClaimed(detached, grant)
		done <- outcome{answer, err}
	}()
	timer := time.NewTimer(time.Until(c.req.Deadline) - replyMargin)
	defer timer.Stop()
	select {
	case o := <-done:
		return o.answer, o.err
	case <-timer.C:
		return nil, errs.Ambiguous(errs.OutcomeUnknown, "the outcome was not known before the deadline").WithRetryAfter(time.Second)
	}
}

func priorAnswer(prior *claim.Prior, err error) (*frontend.CallAnswer, error) {
	if err != nil {
		return nil, err
	}
	return &frontend.CallAnswer{Result: prior.Answer}, nil
}

// executeClaimed sends the request under its claim and records what became of it.
func (c *call) executeClaimed(ctx context.Context, grant claim.Grant) (*frontend.CallAnswer, error) {
	res := c.sendClaimed(ctx, grant.Token)
	if res.err == nil {
		if err := c.g.cfg.Claims.Record(ctx, grant, http.StatusOK, res.answer); err != nil {
			return nil, errs.Ambiguous(errs.OutcomeUnknown, "the outcome could not be recorded").WithRetryAfter(time.Second)
		}
		return &frontend.CallAnswer{Result: res.answer}, nil
	}
	r := errs.As(res.err)
	if r.RunState == errs.DidNotRun {
		// The claim is given back, so that the caller may try again. If that
		// fails the key stays claimed and a repeat is told that the outcome
		// is unknown.
		_ = c.g.cfg.Claims.Release(ctx, grant)
		return nil, r
	}
	c.g.cfg.Log.WithFields(logrus.Fields{"query": c.id, "reason": r.Code, "detail": r.Detail}).Warn("Outcome of a claimed request is unknown.")
	return nil, errs.Ambiguous(errs.OutcomeUnknown, "the request may have run at an upstream, its outcome is not known").WithRetryAfter(time.Second)
}

// sendClaimed sends until one attempt may have run. Only a replica's or an
// owner's own word that nothing ran permits another send.
func (c *call) sendClaimed(ctx context.Context, token string) callResult {
	reason := "primary"
	for {
		p, err := c.pick(reason)
		if err != nil {
			return callResult{err: err}
		}
		res := c.attempt(ctx, p, token)
		if res.err == nil || !c.mayRetry(res.err) {
			return res
		}
		if !time.Now().Add(replyMargin).Before(c.req.Deadline) || !wait.Sleep(ctx, c.backoff(res.err)) {
			return res
		}
		reason = retryReason(res.err)
	}
}
