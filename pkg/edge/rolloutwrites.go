package edge

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/feed"
	"github.com/nutmeghitch/nutmeghitch/pkg/rollout"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// rolloutQueueSize bounds the writes that wait; each service has one at a time.
	rolloutQueueSize = 64
	// unknownWriteTime is how long the outcome of a write may stay unknown before its
	// evidence is reported again.
	unknownWriteTime = 3 * time.Second
	// lostAgreementTime is how long the store may lack the known agreement before it is
	// written again. What this VM has written itself is read back within milliseconds.
	lostAgreementTime = time.Second
	// reportTopic names the evidence that VMs report to the VM that feeds them. It is part
	// of the protocol between VMs.
	reportTopic = "rollout evidence"
)

// rolloutWrites is what this VM is about to write for a service.
type rolloutWrites struct {
	// wants is the state that this VM would write since wantsSince, statusSince the time
	// since which the status differs; zero if it does not.
	wants       rollout.Phase
	wantsSince  time.Time
	statusSince time.Time
	lostSince   time.Time
	// writing is set while a write is under way. unknownSince is when the last one has
	// ended without an answer; zero if it was answered.
	writing      bool
	unknownSince time.Time
}

// rolloutWrite is a write for a service: of an agreement, or of the status of its order.
type rolloutWrite struct {
	service   string
	agreement *rollout.Agreement
	status    rollout.Status
	revision  int64
	// reportID names the evidence that the agreement contains, recorder where it is from.
	reportID string
	recorder *rolloutRecorder
}

// advanceRollouts makes the changes that depend on time, evidence and the age of what is
// known. It reports whether the view changes.
func (c *controller) advanceRollouts(now time.Time) bool {
	if !c.state.settings.Rollouts || c.state.table() == nil {
		return false
	}
	current, changed := c.rolloutsCurrent(now), false
	for name, r := range c.state.rollouts.services {
		if r.current != current && r.known != nil && !r.known.Final() {
			c.log.WithFields(logrus.Fields{"service": name, "version": r.known.Target, "current": current}).Info("knowledge of a roll-out is current or out of date")
			changed = true
		}
		r.current = current
		if current && (r.order != nil || r.known != nil) {
			changed = c.advanceRollout(now, name, r) || changed
		}
	}
	return changed
}

// advanceRollout writes what follows for a service, if anything does and it is the turn
// of this VM. A new version that it finds bad gets no more of its requests from then on.
// It reports whether the view changes.
func (c *controller) advanceRollout(now time.Time, name string, r *serviceRollout) bool {
	if !r.unknownSince.IsZero() && now.Sub(r.unknownSince) > unknownWriteTime {
		r.unknownSince = time.Time{}
		if r.recorder != nil && r.known != nil {
			r.recorder.Reconcile(now, r.known)
		}
	}
	turn := rollout.TurnDelay(feed.Rank(c.state.settings.VM, c.state.vms))
	next, changed := rollout.Next(c.rolloutInput(now, name, r))
	refuses := changed && next.Phase == rollout.Undone && r.refused != next.Generation
	if refuses {
		r.refused = next.Generation
		c.log.WithFields(logrus.Fields{"service": name, "version": next.Target, "reason": next.Reason}).Warn("new version gets no more requests of this VM")
	}
	if r.writing {
		return refuses
	}
	if !changed {
		r.wants = ""
		c.writeRolloutFacts(now, name, r, turn)
		return false
	}
	if r.wants != next.Phase {
		r.wants, r.wantsSince = next.Phase, now
	}
	if now.Sub(r.wantsSince) >= turn {
		c.queueRolloutWrite(r, rolloutWrite{service: name, agreement: &next, revision: r.storedRevision})
	}
	return refuses
}

// rolloutInput returns the input of the state machine.
func (c *controller) rolloutInput(now time.Time, name string, r *serviceRollout) rollout.Input {
	in := rollout.Input{Now: now, Order: c.usableOrder(name, r), OrderEra: c.topic(topicRollouts).position().Era, OrderRevision: r.orderRevision, Agreement: r.known, InUse: r.inUse}
	if len(in.InUse) == 0 {
		in.InUse = r.unversioned
	}
	if r.order != nil && (r.known == nil || !r.known.Final()) {
		in.OldReplicas, in.NewReplicas = c.state.countReplicas(now, name, r)
	}
	if r.known != nil {
		in.Evidence = r.known.Evidence
		if r.recorder != nil {
			in.Evidence = in.Evidence.Plus(r.recorder.Evidence())
		}
	}
	return in
}

// usableOrder returns the order with its fault, if it has one, which it logs once.
func (c *controller) usableOrder(name string, r *serviceRollout) *rollout.Order {
	if r.order == nil {
		return nil
	}
	order := *r.order
	if order.Fault == "" && c.state.table().Services[name] == nil {
		order.Fault = "the configuration has no such service"
	}
	if order.Fault != "" && order.Fault != r.loggedFault {
		c.log.WithFields(logrus.Fields{"service": name, "version": order.Target, "fault": order.Fault}).Warn("order of a roll-out ignored")
	}
	r.loggedFault = order.Fault
	return &order
}

// writeRolloutFacts writes what the store lacks: the known agreement after a restore, the
// status of the order, and evidence.
func (c *controller) writeRolloutFacts(now time.Time, name string, r *serviceRollout, turn time.Duration) {
	since := func(start *time.Time, differs bool) bool {
		switch {
		case !differs:
			*start = time.Time{}
		case start.IsZero():
			*start = now
		}
		return differs && now.Sub(*start) >= turn
	}
	if r.known == nil {
		return
	}
	lost := since(&r.lostSince, r.stored == nil || r.known.Later(r.stored)) && now.Sub(r.lostSince) >= turn+lostAgreementTime
	order := c.usableOrder(name, r)
	outdated := since(&r.statusSince, order != nil && order.Fault == "" && order.Target == r.known.Target && order.Status != r.known.Status())
	switch {
	case lost:
		c.queueRolloutWrite(r, rolloutWrite{service: name, agreement: r.known, revision: r.storedRevision})
	case outdated:
		c.queueRolloutWrite(r, rolloutWrite{service: name, status: r.known.Status(), revision: r.orderRevision})
	case !r.known.Final() && !r.known.Quiet(now) && c.watchingStore && r.stored != nil && !r.known.Later(r.stored):
		id, delta, ok := r.recorder.Take(now, feed.Rank(c.state.settings.VM, c.state.vms), feed.WatcherCount(len(c.state.vms)), c.state.rollouts.running(), r.known.Phase == rollout.Shift)
		if ok {
			next := r.known.WithReport(id, delta)
			c.queueRolloutWrite(r, rolloutWrite{service: name, agreement: &next, revision: r.storedRevision, reportID: id, recorder: r.recorder})
		}
	}
}

// queueRolloutWrite hands a write to the goroutine that writes. One that finds the queue
// full is dropped, and decided again.
func (c *controller) queueRolloutWrite(r *serviceRollout, w rolloutWrite) {
	select {
	case c.rolloutWrites <- w:
		r.writing = true
	default:
		c.log.WithField("service", w.service).Warn("write for a roll-out put off: too many wait")
		if w.reportID != "" {
			w.recorder.Retry(time.Now(), w.reportID)
		}
	}
}

// writeRollouts makes the writes for roll-outs until ctx ends.
func (c *controller) writeRollouts(ctx context.Context, store RolloutStore) {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-c.rolloutWrites:
			running.Go(func() {
				var err error
				if w.agreement != nil {
					err = store.WriteAgreement(ctx, *w.agreement, w.revision)
				} else {
					err = store.WriteRolloutStatus(ctx, w.service, w.status, w.revision)
				}
				c.post(ctx, func(now time.Time) bool { return c.rolloutWritten(now, w, err) })
			})
		}
	}
}

// rolloutWritten records the outcome of a write. It reports whether the view changes.
func (c *controller) rolloutWritten(now time.Time, w rolloutWrite, err error) bool {
	r := c.state.rollouts.service(w.service)
	r.writing, r.unknownSince = false, time.Time{}
	fields := logrus.Fields{"service": w.service, "revision": w.revision}
	if w.agreement != nil {
		fields["phase"], fields["step"] = w.agreement.Phase, w.agreement.Step
	} else {
		fields["state"] = w.status.State
	}
	switch {
	case err == nil:
		if w.agreement == nil || w.reportID == "" {
			c.log.WithFields(fields).Info("roll-out written to the store")
		}
		if w.reportID != "" {
			w.recorder.Settle(w.reportID)
		}
		if w.agreement != nil {
			c.adoptAgreement(now, r, *w.agreement)
		} else if r.order != nil {
			r.order.Status = w.status
		}
		return true
	case errs.Is(err, errs.PlatformConflict) || errs.As(err).RunState == errs.DidNotRun:
		if w.reportID != "" {
			w.recorder.Retry(now, w.reportID)
		}
		c.log.WithFields(fields).WithField("error", err).Info("write for a roll-out did not take place")
	default:
		r.unknownSince = now
		c.log.WithFields(fields).WithField("error", err).Warn("write for a roll-out: outcome unknown")
	}
	return false
}

// takeEvidence returns the evidence of this VM for the one that feeds it, nil if there is
// none.
func (c *controller) takeEvidence(s *state) []wire.FeedTopic {
	topic := wire.FeedTopic{Name: reportTopic}
	for name, r := range s.rollouts.services {
		if r.known == nil || r.known.Final() || r.recorder == nil {
			continue
		}
		evidence := r.recorder.Flush()
		if len(evidence.Total) == 0 {
			continue
		}
		value, err := msgpack.Marshal(evidence)
		if err != nil {
			c.log.WithFields(logrus.Fields{"service": name, "error": err}).Error("evidence of a roll-out not reported: encoding failed")
			continue
		}
		topic.Items = append(topic.Items, wire.FeedItem{Name: name, Revision: r.known.Generation, Value: value})
	}
	if len(topic.Items) == 0 {
		return nil
	}
	return []wire.FeedTopic{topic}
}

// absorbEvidence adds the evidence of a VM that this one feeds.
func (c *controller) absorbEvidence(topics []wire.FeedTopic) bool {
	for _, t := range topics {
		if t.Name != reportTopic {
			continue
		}
		for _, item := range t.Items {
			r := c.state.rollouts.services[item.Name]
			if r == nil || r.recorder == nil || r.recorder.generation != item.Revision {
				continue // it is of an order that has ended
			}
			var evidence rollout.Evidence
			if err := msgpack.Unmarshal(item.Value, &evidence); err != nil || !evidence.Valid() {
				c.log.WithFields(logrus.Fields{"service": item.Name, "error": err}).Warn("evidence of another VM ignored: malformed")
				continue
			}
			r.recorder.Absorb(evidence)
		}
	}
	return false
}

// reportEvidence passes the evidence of this VM on to the VM that feeds it, until done is
// closed or the feed ends.
func (s *updateSource) reportEvidence(ctx context.Context, subscription *feed.Subscription) {
	ticker := time.NewTicker(rollout.FlushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		topics, _ := askState(ctx, s.controller, s.controller.takeEvidence)
		if topics == nil {
			continue
		}
		if err := subscription.Report(topics); err != nil {
			s.log.WithField("error", err).Info("evidence of a roll-out not reported: the feed does not take it")
			return
		}
	}
}
