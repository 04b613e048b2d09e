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
	// cancelGrace extends the exchange with the upstream beyond the deadline, so
	// that the upstream's reply to a missed deadline or a cancellation can arrive.
	cancelGrace = 250 * time.Millisecond
	// slotReleaseDelay is how long a slot stays taken after the deadline or a
	// cancellation: the upstream's deadline starts when the request arrives there,
	// so the run can end later there than here.
	slotReleaseDelay = 20 * time.Millisecond
)

// attempt is a request that is sent to one replica once.
type attempt struct {
	replica     model.ReplicaID
	fingerprint uint64
	// suspect is set if upstreams were lost with requests of this fingerprint in
	// flight.
	suspect bool
	// proven is set if the same request succeeded recently; it then does not count
	// as a possible cause of the loss of an upstream.
	proven  bool
	caller  string
	request upstream.RunRequest
}

// lossFingerprint returns the fingerprint that is recorded if the upstream is lost
// during the attempt, or 0 if the request is proven.
func (a attempt) lossFingerprint() uint64 {
	if a.proven {
		return 0
	}
	return a.fingerprint
}

// result is the response or the error of an attempt, with the load of the replica.
type result struct {
	response    *upstream.RunResponse
	err         error
	hint        wire.LoadHint
	serviceTime time.Duration
}

// runAttempt waits for a slot and sends the request. When ctx ends, a queued attempt
// is withdrawn and a running one is canceled at the upstream; runAttempt then
// returns when the exchange with the upstream has ended.
func (d *Dispatcher) runAttempt(ctx context.Context, a attempt) result {
	t, err := d.ownedTarget(a.replica)
	if err != nil {
		return result{err: err}
	}
	id, err := d.acquireSlot(ctx, t, a)
	if err != nil {
		return result{err: err, hint: t.hint()}
	}
	if err := d.checkDispatchable(a.replica); err != nil {
		t.releaseSlot(d.cfg.Now(), id, limit.NotSent, 0)
		return result{err: err, hint: t.hint()}
	}
	return d.send(ctx, t, id, a)
}

// acquireSlot waits for a slot until ctx ends and returns the ID of the attempt.
func (d *Dispatcher) acquireSlot(ctx context.Context, t *target, a attempt) (uint64, error) {
	id, granted, err := t.requestSlot(d.cfg.Now(), limit.Request{
		Deadline: a.request.Deadline,
		Caller:   a.caller,
		// Operations differ in service time; compared with one another, a slow one
		// would look like a slowdown of the replica.
		Operation: a.request.Operation,
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
	// The wait ended at the same time as ctx.
	if err := <-granted; err != nil {
		return 0, err
	}
	t.releaseSlot(d.cfg.Now(), id, limit.NotSent, 0)
	return 0, errs.Refuse(errs.Canceled, "withdrawn before the send to replica %s", a.replica)
}

// send sends the request, records the outcome and returns the slot.
func (d *Dispatcher) send(ctx context.Context, t *target, id uint64, a attempt) result {
	a.request.ProgressTimeout = t.progressTimeout()
	if left := a.request.Deadline.Sub(d.cfg.Now()); left < a.request.ProgressTimeout {
		// The deadline passes first and ends the attempt with DeadlineExceeded, so
		// that a slow answer does not count as a silent connection.
		a.request.ProgressTimeout = left + cancelGrace
	}
	d.sentAttempts.Inc(1)
	runCtx, stop := context.WithDeadline(context.WithoutCancel(ctx), a.request.Deadline.Add(cancelGrace))
	defer stop()
	unwatch := context.AfterFunc(ctx, func() { t.client.Load().Cancel(a.request.RequestID) })
	defer unwatch()

	began := d.cfg.Now()
	response, err := t.client.Load().Run(runCtx, a.request)
	took := d.cfg.Now().Sub(began)
	if err == nil {
		err = upstream.CheckResponse(a.request, response)
	}
	d.recordOutcome(ctx, t, a, response, err)
	d.releaseSlot(t, id, a, err, took)
	return result{response: response, err: err, hint: t.hint(), serviceTime: took}
}

// releaseSlot returns the slot when the run at the upstream has ended: at once if
// the upstream has answered, else after it has acknowledged a cancellation or after
// the deadline. An upstream whose connection is silent may still run the request.
func (d *Dispatcher) releaseSlot(t *target, id uint64, a attempt, err error, took time.Duration) {
	late := errs.Is(err, errs.DeadlineExceeded)
	silent := errs.Is(err, errs.ConnectionSilent)
	if !late && !silent || errs.As(err).RunState == errs.DidNotRun {
		t.releaseSlot(d.cfg.Now(), id, outcomeOf(err), took)
		return
	}
	release := func() { t.releaseSlot(d.cfg.Now(), id, outcomeOf(err), took) }
	if late {
		t.client.Load().Cancel(a.request.RequestID)
		time.AfterFunc(slotReleaseDelay, release)
		return
	}
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), a.request.Deadline)
		defer cancel()
		_ = t.client.Load().CancelAndWait(ctx, a.request.RequestID)
		time.AfterFunc(slotReleaseDelay, release)
	}()
}

// recordOutcome records the instance ID and updates the poison ledger. It is called
// before the slot is returned, so that the fingerprint is still in flight.
func (d *Dispatcher) recordOutcome(ctx context.Context, t *target, a attempt, response *upstream.RunResponse, err error) {
	switch {
	case err == nil:
		if t.recordInstance(d.cfg.Now(), response.Instance) {
			d.upstreamLost(ctx, t, "instance_changed")
		}
		if e, changed := d.cfg.Ledger.RecordSuccess(d.cfg.Now(), a.fingerprint); changed {
			go d.cfg.PublishPoison(context.WithoutCancel(ctx), e)
		}
	case errs.Is(err, errs.UpstreamLost) && errs.As(err).RunState == errs.MayHaveRun:
		// A request that never reached the upstream cannot have crashed it, so only
		// one that may have run counts.
		d.lostUpstreams.Inc(1)
		d.upstreamLost(ctx, t, "connection_reset")
	}
}

// upstreamLost records the loss of an upstream for the fingerprints in flight there,
// one of which may have caused it, and publishes the changed poison entries.
func (d *Dispatcher) upstreamLost(ctx context.Context, t *target, reason string) {
	instance, fps := t.runningFingerprints()
	entries := d.cfg.Ledger.RecordLoss(d.cfg.Now(), t.spec.replica.ID, instance, fps)
	d.cfg.Log.WithFields(logrus.Fields{
		"replica": t.spec.replica.ID, "reason": reason, "in_flight": len(fps), "suspects": len(entries),
	}).Warn("Upstream lost.")
	for _, e := range entries {
		d.cfg.PublishPoison(context.WithoutCancel(ctx), e)
	}
}

// outcomeOf returns the outcome that the limiter records for the error of an attempt.
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
