package dispatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/limit"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/upstream"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// cancelGrace is added to the deadline of the exchange with the upstream,
	// so that its own answer to the deadline or the cancellation arrives.
	cancelGrace = 250 * time.Millisecond
	// slotHold is how long a slot stays taken after an attempt ended without
	// an answer: the upstream's deadline starts when the request arrives there.
	slotHold = 20 * time.Millisecond
)

// attempt is one send to one replica.
type attempt struct {
	replica     model.ReplicaID
	fingerprint uint64
	suspect     bool
	// proven attempts are not held responsible for the loss of an upstream.
	proven bool
	caller string
	run    upstream.RunRequest
}

// lossFingerprint returns the fingerprint that the loss of the upstream counts
// against, or 0.
func (a attempt) lossFingerprint() uint64 {
	if a.proven {
		return 0
	}
	return a.fingerprint
}

// result is the outcome of an attempt.
type result struct {
	response *upstream.RunResponse
	err      error
	hint     wire.LoadHint
	service  time.Duration
}

// do runs one attempt. Ending ctx withdraws a queued attempt and cancels a
// running one; do still returns only when the slot is free again.
func (d *Dispatcher) do(ctx context.Context, a attempt) result {
	t, err := d.target(a.replica)
	if err != nil {
		return result{err: err}
	}
	id, err := d.acquire(ctx, t, a)
	if err != nil {
		return result{err: err, hint: t.hint()}
	}
	if err := d.dispatchable(a.replica); err != nil {
		t.leave(d.cfg.Now(), id, limit.NotSent, 0)
		return result{err: err, hint: t.hint()}
	}
	return d.send(ctx, t, id, a)
}

func (d *Dispatcher) acquire(ctx context.Context, t *target, a attempt) (uint64, error) {
	id, granted, err := t.enter(d.cfg.Now(), limit.Request{
		Deadline: a.run.Deadline,
		Caller:   a.caller,
		// Operations differ in service time, which must not look like a jump.
		Operation: a.run.Operation,
		Suspect:   a.suspect,
	}, a.lossFingerprint())
	if err != nil || granted == nil {
		return id, err
	}
	select {
	case err := <-granted:
		return id, err
	case <-ctx.Done():
	}
	if t.withdraw(d.cfg.Now(), id) {
		return 0, errs.Refuse(errs.Canceled, "withdrawn from the queue of replica %s", a.replica)
	}
	// The grant and the withdrawal crossed.
	if err := <-granted; err != nil {
		return 0, err
	}
	t.leave(d.cfg.Now(), id, limit.NotSent, 0)
	return 0, errs.Refuse(errs.Canceled, "withdrawn before the send to replica %s", a.replica)
}

func (d *Dispatcher) send(ctx context.Context, t *target, id uint64, a attempt) result {
	a.run.ProgressTimeout = t.progressBound()
	if left := a.run.Deadline.Sub(d.cfg.Now()); left < a.run.ProgressTimeout {
		// The deadline ends the attempt first; a slow answer is not silence.
		a.run.ProgressTimeout = left + cancelGrace
	}
	d.sent.Inc(1)
	runCtx, stop := context.WithDeadline(context.WithoutCancel(ctx), a.run.Deadline.Add(cancelGrace))
	defer stop()
	unwatch := context.AfterFunc(ctx, func() { t.client.Load().Cancel(a.run.RequestID) })
	defer unwatch()

	began := d.cfg.Now()
	response, err := t.client.Load().Run(runCtx, a.run)
	took := d.cfg.Now().Sub(began)
	if err == nil {
		err = upstream.CheckResponse(a.run, response)
	}
	d.account(ctx, t, a, response, err)
	d.leave(t, id, a, err, took)
	return result{response: response, err: err, hint: t.hint(), service: took}
}

// leave returns the slot, at once when the upstream has answered. An upstream
// that went silent may still work, so its slot stays taken until it has
// acknowledged a cancellation, or the deadline has ended the run there.
func (d *Dispatcher) leave(t *target, id uint64, a attempt, err error, took time.Duration) {
	late := errs.Is(err, errs.DeadlineExceeded)
	silent := errs.Is(err, errs.ConnectionSilent)
	if !late && !silent || errs.As(err).RunState == errs.DidNotRun {
		t.leave(d.cfg.Now(), id, outcomeOf(err), took)
		return
	}
	release := func() { t.leave(d.cfg.Now(), id, outcomeOf(err), took) }
	if late {
		t.client.Load().Cancel(a.run.RequestID)
		time.AfterFunc(slotHold, release)
		return
	}
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), a.run.Deadline)
		defer cancel()
		_ = t.client.Load().CancelAndWait(ctx, a.run.RequestID)
		time.AfterFunc(slotHold, release)
	}()
}

// account updates instance identity and poison accounting before the slot is
// returned, so that the fingerprint still counts as in flight.
func (d *Dispatcher) account(ctx context.Context, t *target, a attempt, response *upstream.RunResponse, err error) {
	switch {
	case err == nil:
		if t.observeInstance(d.cfg.Now(), response.Instance) {
			d.upstreamLost(ctx, t, "instance_changed")
		}
		if e, tell := d.cfg.Ledger.RecordSuccess(d.cfg.Now(), a.fingerprint); tell {
			go d.cfg.PublishPoison(context.WithoutCancel(ctx), e)
		}
	case errs.Is(err, errs.UpstreamLost) && errs.As(err).RunState == errs.MayHaveRun:
		// A send that never reached the upstream cannot have brought it down.
		d.lost.Inc(1)
		d.upstreamLost(ctx, t, "connection_reset")
	}
}

// upstreamLost counts the loss of an upstream against the attempts in flight
// there, which may have caused it.
func (d *Dispatcher) upstreamLost(ctx context.Context, t *target, reason string) {
	instance, fps := t.running()
	entries := d.cfg.Ledger.RecordLoss(d.cfg.Now(), t.spec.replica.ID, instance, fps)
	d.cfg.Log.WithFields(logrus.Fields{
		"replica": t.spec.replica.ID, "reason": reason, "in_flight": len(fps), "suspects": len(entries),
	}).Warn("Upstream lost.")
	for _, e := range entries {
		d.cfg.PublishPoison(context.WithoutCancel(ctx), e)
	}
}

func outcomeOf(err error) limit.Outcome {
	if err == nil {
		return limit.Succeeded
	}
	r := errs.As(err)
	switch r.Code {
	case errs.UpstreamShed:
		return limit.Shed
	case errs.UpstreamCold:
		return limit.ShedCold
	case errs.UpstreamLost, errs.ConnectionSilent:
		return limit.Lost
	case errs.Canceled, errs.VersionGone, errs.UpstreamDraining:
		return limit.NotSent
	default:
		return limit.Failed
	}
}
