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

// recordGracePeriod is the time after the caller's deadline in which the outcome
// of a non-idempotent request may still be recorded.
const recordGracePeriod = 30 * time.Second

// runClaimed runs a non-idempotent request after claiming its idempotency key.
// Running it and recording its outcome continue when the caller disconnects or
// the deadline passes, so that a repeated request with the same key gets the
// outcome.
func (c *lookupCall) runClaimed(ctx context.Context, release func()) (*frontend.CallAnswer, error) {
	grant, prior, err := c.g.cfg.Claims.Claim(ctx, claim.Request{
		Service:     c.req.Service,
		Key:         c.req.Operation + "/" + c.req.Key,
		Fingerprint: c.fingerprint,
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
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.req.Deadline.Add(recordGracePeriod))
	go func() {
		defer cancel()
		defer release()
		answer, err := c.sendAndRecord(detached, grant)
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

// priorAnswer returns the outcome that was recorded for an earlier request with
// the same key, or err if the claim failed.
func priorAnswer(prior *claim.Prior, err error) (*frontend.CallAnswer, error) {
	if err != nil {
		return nil, err
	}
	return &frontend.CallAnswer{Result: prior.Answer}, nil
}

// sendAndRecord sends a claimed request and records its outcome. If the request
// did not run, it releases the claim instead.
func (c *lookupCall) sendAndRecord(ctx context.Context, grant claim.Grant) (*frontend.CallAnswer, error) {
	res := c.sendClaimed(ctx, grant.Token)
	if res.err == nil {
		if err := c.g.cfg.Claims.Record(ctx, grant, http.StatusOK, res.answer); err != nil {
			return nil, errs.Ambiguous(errs.OutcomeUnknown, "the outcome could not be recorded").WithRetryAfter(time.Second)
		}
		return &frontend.CallAnswer{Result: res.answer}, nil
	}
	r := errs.As(res.err)
	if r.RunState == errs.DidNotRun {
		// Without the claim the caller can send the request again. If the release
		// fails, the key stays claimed, and a repeated request is refused with the
		// code OutcomeUnknown.
		_ = c.g.cfg.Claims.Release(ctx, grant)
		return nil, r
	}
	c.g.cfg.Log.WithFields(logrus.Fields{"query": c.id, "reason": r.Code, "detail": r.Detail}).Warn("outcome of a claimed request is unknown: its key stays claimed")
	return nil, errs.Ambiguous(errs.OutcomeUnknown, "the request may have run at an upstream, its outcome is not known").WithRetryAfter(time.Second)
}

// sendClaimed sends a request until it succeeds or an attempt may have run. It
// sends again only after a replica or its owner has reported that the attempt
// did not run.
func (c *lookupCall) sendClaimed(ctx context.Context, token string) attemptResult {
	reason := "primary"
	for {
		p, err := c.pickTarget(reason)
		if err != nil {
			return attemptResult{err: err}
		}
		res := c.attempt(ctx, p, token)
		if res.err == nil || !c.chargeRetry(res.err) {
			return res
		}
		if !time.Now().Add(replyMargin).Before(c.req.Deadline) || !wait.Sleep(ctx, c.backoff(res.err)) {
			return res
		}
		reason = resendReason(res.err)
	}
}
