package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/hedge"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// batchEvent is a partial answer to a batch, or the error that ended the batch.
type batchEvent struct {
	batch   *ownerBatch
	partial *wire.SearchPartial
	err     error
}

// ownerBatch is the exchange of one batch with one owner, which may be this VM.
type ownerBatch struct {
	items []wire.SearchItem
	// cancel asks the owner to cancel an attempt, close ends the exchange.
	cancel func(attempt uint32)
	close  func()
}

// sendBatch sends a batch to an owner. The partial answers, or the error that
// ends the batch, arrive on s.events.
func (s *search) sendBatch(owner model.VM, items []wire.SearchItem, proven bool) {
	request := &wire.SearchBatch{
		QueryID:     s.id,
		Service:     s.req.Service,
		Operation:   s.req.Operation,
		Snapshot:    s.choice.Snapshot,
		Remaining:   time.Until(s.req.Deadline),
		Payload:     s.req.Query,
		Limit:       s.req.Limit,
		Fingerprint: s.fingerprint,
		Suspect:     s.suspect,
		Proven:      proven,
		Caller:      s.req.Caller,
		Items:       items,
	}
	batch := &ownerBatch{items: items, cancel: func(uint32) {}, close: func() {}}
	s.batches = append(s.batches, batch)
	for _, it := range items {
		st := s.groupByID[it.Group]
		a := st.running[it.Attempt]
		a.batch = batch
		st.running[it.Attempt] = a
	}
	if owner.ID == s.g.cfg.Self.ID {
		s.sendLocal(batch, request)
		return
	}
	s.sendRemote(batch, owner, request)
}

// sendLocal passes a batch to the dispatcher of this VM.
func (s *search) sendLocal(batch *ownerBatch, request *wire.SearchBatch) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(s.ctx))
	cancels := make(chan wire.Message, len(request.Items))
	batch.cancel = func(a uint32) {
		select {
		case cancels <- &wire.CancelAttempts{QueryID: request.QueryID, Attempts: []uint32{a}}:
		default:
		}
	}
	batch.close = cancel
	go func() {
		defer cancel()
		s.g.cfg.LocalDispatcher.Search(ctx, request, cancels, func(p *wire.SearchPartial) error {
			s.deliver(ctx, batchEvent{batch: batch, partial: p})
			return nil
		})
	}()
}

// deliver sends an event to the goroutine of the search, unless ctx ends first.
func (s *search) deliver(ctx context.Context, e batchEvent) {
	select {
	case s.events <- e:
	case <-ctx.Done():
	}
}

// sendRemote sends a batch to another VM and receives its answers.
func (s *search) sendRemote(batch *ownerBatch, owner model.VM, request *wire.SearchBatch) {
	ctx, cancel := context.WithCancel(s.ctx)
	var (
		mu     sync.Mutex
		stream wire.Stream
	)
	sendCancel := func(ids []uint32) {
		mu.Lock()
		defer mu.Unlock()
		if stream != nil {
			_ = stream.Send(&wire.CancelAttempts{QueryID: request.QueryID, Attempts: ids})
		}
	}
	batch.cancel = func(a uint32) { sendCancel([]uint32{a}) }
	batch.close = cancel
	go func() {
		defer cancel()
		opened, err := s.g.cfg.Transport.Open(ctx, owner, request)
		if err != nil {
			s.deliver(ctx, batchEvent{batch: batch, err: err})
			return
		}
		mu.Lock()
		stream = opened
		mu.Unlock()
		defer opened.Close()
		s.receive(ctx, batch, opened)
	}()
}

// receive delivers the messages of a remote batch until the last one or an error.
func (s *search) receive(ctx context.Context, batch *ownerBatch, stream wire.Stream) {
	for {
		m, err := stream.Recv(ctx)
		if err != nil {
			s.deliver(ctx, batchEvent{batch: batch, err: err})
			return
		}
		switch m := m.(type) {
		case *wire.SearchPartial:
			s.deliver(ctx, batchEvent{batch: batch, partial: m})
			if m.Last {
				return
			}
		case *wire.Failure:
			s.deliver(ctx, batchEvent{batch: batch, err: m.Err()})
			return
		default:
			s.deliver(ctx, batchEvent{batch: batch, err: errs.Ambiguous(errs.FrameMalformed, "message kind %d in a search", m.Kind())})
			return
		}
	}
}

// handleEvent applies a partial answer or the error of a batch.
func (s *search) handleEvent(e batchEvent) {
	if e.err != nil {
		s.batchFailed(e.batch, e.err)
		return
	}
	if !s.matchesAttempts(e.batch, e.partial) {
		// The partial is late, repeated, or belongs to another query or attempt. All
		// of it is dropped.
		s.g.counters.droppedResponses.Inc(1)
		s.batchFailed(e.batch, errs.Ambiguous(errs.ResponseMismatch, "partial does not belong to the batch"))
		return
	}
	added := s.collector.Add(e.partial)
	var retry []*groupState
	for _, o := range e.partial.Groups {
		if st := s.applyOutcome(o, slices.Contains(added.Rejected, o.Group)); st != nil {
			retry = append(retry, st)
		}
	}
	s.resend(retry)
}

// matchesAttempts reports whether every outcome of a partial belongs to a running
// attempt of the batch or to a resolved group.
func (s *search) matchesAttempts(batch *ownerBatch, p *wire.SearchPartial) bool {
	if p.QueryID != s.id {
		return false
	}
	for _, o := range p.Groups {
		st := s.groupByID[o.Group]
		if st == nil {
			return false
		}
		a, running := st.running[o.Attempt]
		if !st.resolved && (!running || a.batch != batch || a.replica != o.Replica) {
			return false
		}
	}
	return true
}

// applyOutcome applies the outcome of one attempt. rejected means that the merge
// did not accept the rows of the group. It returns the group if the search must
// be sent to it again at once, and nil otherwise.
func (s *search) applyOutcome(o wire.GroupOutcome, rejected bool) *groupState {
	now := time.Now()
	st := s.groupByID[o.Group]
	a, running := st.running[o.Attempt]
	if !running {
		return nil
	}
	delete(st.running, o.Attempt)
	if err := o.Failure.Err(); err != nil {
		return s.attemptFailed(now, st, a.replica, err)
	}
	if rejected {
		s.g.counters.droppedResponses.Inc(1)
		s.g.routingTable.Failed(now, a.replica, errs.ResponseMismatch)
		return s.retryOrGiveUp(st, errs.Ambiguous(errs.ResponseMismatch, "group %s answered for other shards", o.Group))
	}
	s.g.routingTable.Completed(now, o.Replica, now.Sub(a.sentAt), o.Hint)
	s.hedgePolicy.Observe(now.Sub(st.firstSent))
	s.g.cfg.Ledger.RecordSuccess(now, s.fingerprint)
	s.proven = true
	s.resolve(st)
	s.cancelRunning(now, st)
	s.releaseCanary()
	return nil
}

// attemptFailed records the failure that an owner reported for an attempt. It
// returns the group if the search must be sent to it again at once.
func (s *search) attemptFailed(now time.Time, st *groupState, replica model.ReplicaID, err error) *groupState {
	code := errs.As(err).Code
	if code == errs.Canceled {
		s.g.routingTable.Canceled(now, replica)
	} else {
		s.g.routingTable.Failed(now, replica, code)
	}
	if code == errs.VersionGone {
		s.versionGone = true
	}
	if code == errs.UpstreamLost {
		s.recheckPoison()
	}
	st.recordFailure(err)
	if st.resolved || s.poisonRefusal != nil {
		return nil
	}
	if len(st.running) > 0 {
		return nil
	}
	return s.retryOrGiveUp(st, err)
}

// retryOrGiveUp decides whether the search is sent again to a group whose last
// running attempt has failed. It returns the group if that must happen at once.
func (s *search) retryOrGiveUp(st *groupState, err error) *groupState {
	st.recordFailure(err)
	if errs.Is(err, errs.VersionGone) || !hedge.RetryAllowed(err, true) {
		s.giveUp(st, err)
		return nil
	}
	if hedge.Misrouted(err) {
		return s.resendMisrouted(st)
	}
	if st.attempts >= maxAttempts {
		s.giveUp(st, err)
		return nil
	}
	if !s.canaryReleased && errs.Is(err, errs.UpstreamLost) && s.canaryCount < len(s.groups) {
		s.postponeCanary(st)
		return nil
	}
	if !s.chargeRetry(st, err) {
		s.g.counters.deniedSends.inc(1)
		s.giveUp(st, err)
		return nil
	}
	if !s.hasUntriedReplica(st) {
		// Every replica has refused or failed. Trying them again at once would
		// multiply the load that made them refuse.
		clear(st.tried)
		st.resendAt = time.Now().Add(time.Duration(st.attempts) * allTriedDelay)
		return nil
	}
	return st
}

// resendMisrouted handles an attempt that reached a VM that does not own the
// replica. If another replica is left, it is tried at once. Otherwise the group
// waits until the views of the VMs can have converged. Such attempts do not
// count, because it can take seconds until all VMs agree on the owners after a VM
// was lost.
func (s *search) resendMisrouted(st *groupState) *groupState {
	st.attempts--
	if time.Until(s.req.Deadline) < 2*misroutedDelay {
		s.giveUp(st, st.lastErr)
		return nil
	}
	if s.hasUntriedReplica(st) {
		return st
	}
	clear(st.tried)
	st.resendAt = time.Now().Add(misroutedDelay)
	return nil
}

// chargeRetry takes a retry from the extra-load budget and reports whether it is
// allowed. The replacement of an attempt that did not run adds no load and is
// free. The first replacement of an attempt that may have run is always allowed,
// because the coverage of a search must not depend on the budget.
func (s *search) chargeRetry(st *groupState, err error) bool {
	if errs.As(err).RunState == errs.DidNotRun {
		return true
	}
	if st.attempts <= 1 {
		s.hedgePolicy.ForceTakeExtra(1)
		return true
	}
	return s.hedgePolicy.TryTakeExtra(1) == nil
}

// resend sends the search to groups again. Only the replacement of an attempt
// that may have run is extra load for the upstreams and counts as a retry.
func (s *search) resend(groups []*groupState) {
	if s.poisonRefusal != nil {
		return
	}
	var retries, moves []*groupState
	for _, st := range groups {
		if errs.As(st.lastErr).RunState == errs.MayHaveRun {
			retries = append(retries, st)
		} else {
			moves = append(moves, st)
		}
	}
	if len(retries) > 0 {
		s.sendGroups(retries, "retry")
	}
	if len(moves) > 0 {
		s.sendGroups(moves, "moved")
	}
}

// batchFailed records an error that ended a batch, such as the loss of its owner,
// as the failure of all its running attempts.
func (s *search) batchFailed(batch *ownerBatch, err error) {
	now := time.Now()
	var retry []*groupState
	for _, it := range batch.items {
		st := s.groupByID[it.Group]
		a, running := st.running[it.Attempt]
		if !running {
			continue
		}
		delete(st.running, it.Attempt)
		// If the owner is gone, it can take some seconds until its replicas have a
		// new one. Until then the penalty makes other replicas preferred.
		s.g.routingTable.Failed(now, a.replica, errs.As(err).Code)
		st.recordFailure(err)
		if st.resolved || len(st.running) > 0 {
			continue
		}
		if again := s.retryOrGiveUp(st, err); again != nil {
			retry = append(retry, again)
		}
	}
	s.g.cfg.Log.WithFields(logrus.Fields{
		"query": s.id, "reason": errs.As(err).Code, "groups": len(batch.items), "resent": len(retry),
	}).Warn("batch to an owner ended with an error")
	s.resend(retry)
}

// giveUp resolves a group as missing because of err.
func (s *search) giveUp(st *groupState, err error) {
	if st.resolved {
		return
	}
	st.lastErr = err
	s.resolveMissing(st, errs.As(err).Code)
}

// resolveMissing resolves a group as missing from the answer. If it was the last
// pending canary, the next group becomes the canary.
func (s *search) resolveMissing(st *groupState, reason errs.Code) {
	s.collector.RecordMissing(st.choice.Group.ID, reason)
	s.resolve(st)
	if !s.canaryReleased && !s.hasPendingCanary() {
		s.sendNextCanary()
	}
}

func (s *search) resolve(st *groupState) {
	if st.resolved {
		return
	}
	st.resolved = true
	s.unresolved--
}
