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

// event is a partial of a batch, or the error that ended the batch.
type event struct {
	conn    *batchConn
	partial *wire.SearchPartial
	err     error
}

// batchConn is one batch at one owner, local or remote.
type batchConn struct {
	items  []wire.SearchItem
	cancel func(attempt uint32)
	close  func()
}

// sendBatch starts a batch. Its partials and its end arrive on s.events.
func (s *search) sendBatch(owner model.VM, items []wire.SearchItem, proven bool) {
	b := &wire.SearchBatch{
		QueryID:     s.id,
		Service:     s.req.Service,
		Operation:   s.req.Operation,
		Snapshot:    s.choice.Snapshot,
		Remaining:   time.Until(s.req.Deadline),
		Payload:     s.req.Query,
		Limit:       s.req.Limit,
		Fingerprint: s.fp,
		Suspect:     s.suspect,
		Proven:      proven,
		Caller:      s.req.Caller,
		Items:       items,
	}
	conn := &batchConn{items: items, cancel: func(uint32) {}, close: func() {}}
	s.conns = append(s.conns, conn)
	for _, it := range items {
		st := s.groups[it.Group]
		a := st.running[it.Attempt]
		a.via = conn
		st.running[it.Attempt] = a
	}
	if owner.ID == s.g.cfg.Self.ID {
		s.sendLocal(conn, b)
		return
	}
	s.sendRemote(conn, owner, b)
}

func (s *search) sendLocal(conn *batchConn, b *wire.SearchBatch) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(s.ctx))
	in := make(chan wire.Message, len(b.Items))
	conn.cancel = func(a uint32) {
		select {
		case in <- &wire.CancelAttempts{QueryID: b.QueryID, Attempts: []uint32{a}}:
		default:
		}
	}
	conn.close = cancel
	go func() {
		defer cancel()
		s.g.cfg.LocalDispatcher.Search(ctx, b, in, func(p *wire.SearchPartial) error {
			s.deliver(ctx, event{conn: conn, partial: p})
			return nil
		})
	}()
}

// deliver hands an event to the search unless it has ended.
func (s *search) deliver(ctx context.Context, e event) {
	select {
	case s.events <- e:
	case <-ctx.Done():
	}
}

func (s *search) sendRemote(conn *batchConn, owner model.VM, b *wire.SearchBatch) {
	ctx, cancel := context.WithCancel(s.ctx)
	var (
		mu     sync.Mutex
		stream wire.Stream
	)
	withdraw := func(ids []uint32) {
		mu.Lock()
		defer mu.Unlock()
		if stream != nil {
			_ = stream.Send(&wire.CancelAttempts{QueryID: b.QueryID, Attempts: ids})
		}
	}
	conn.cancel = func(a uint32) { withdraw([]uint32{a}) }
	conn.close = cancel
	go func() {
		defer cancel()
		opened, err := s.g.cfg.Transport.Open(ctx, owner, b)
		if err != nil {
			s.deliver(ctx, event{conn: conn, err: err})
			return
		}
		mu.Lock()
		stream = opened
		mu.Unlock()
		defer opened.Close()
		s.receive(ctx, conn, opened)
	}()
}

func (s *search) receive(ctx context.Context, conn *batchConn, stream wire.Stream) {
	for {
		m, err := stream.Recv(ctx)
		if err != nil {
			s.deliver(ctx, event{conn: conn, err: err})
			return
		}
		switch m := m.(type) {
		case *wire.SearchPartial:
			s.deliver(ctx, event{conn: conn, partial: m})
			if m.Last {
				return
			}
		case *wire.Failure:
			s.deliver(ctx, event{conn: conn, err: m.Err()})
			return
		default:
			s.deliver(ctx, event{conn: conn, err: errs.Ambiguous(errs.FrameMalformed, "message kind %d in a search", m.Kind())})
			return
		}
	}
}

func (s *search) handle(e event) {
	if e.err != nil {
		s.connFailed(e.conn, e.err)
		return
	}
	if !s.expected(e.conn, e.partial) {
		// Late, repeated or crossed: none of it may count.
		s.g.counters.mismatches.Inc(1)
		s.connFailed(e.conn, errs.Ambiguous(errs.ResponseMismatch, "partial does not belong to the batch"))
		return
	}
	added := s.collector.Add(e.partial)
	var retry []*groupState
	for _, o := range e.partial.Groups {
		if st := s.outcome(o, slices.Contains(added.Rejected, o.Group)); st != nil {
			retry = append(retry, st)
		}
	}
	s.resend(retry)
}

// expected reports whether every outcome of a partial belongs to an attempt
// of the batch that is running, or to a group that is resolved.
func (s *search) expected(conn *batchConn, p *wire.SearchPartial) bool {
	if p.QueryID != s.id {
		return false
	}
	for _, o := range p.Groups {
		st := s.groups[o.Group]
		if st == nil {
			return false
		}
		a, running := st.running[o.Attempt]
		if !st.resolved && (!running || a.via != conn || a.replica != o.Replica) {
			return false
		}
	}
	return true
}

// outcome applies one attempt's outcome. It returns the group when it must be
// sent again at once.
func (s *search) outcome(o wire.GroupOutcome, rejected bool) *groupState {
	now := time.Now()
	st := s.groups[o.Group]
	a, running := st.running[o.Attempt]
	if !running {
		return nil
	}
	delete(st.running, o.Attempt)
	if err := o.Failure.Err(); err != nil {
		return s.attemptFailed(now, st, a.replica, err)
	}
	if rejected {
		s.g.counters.mismatches.Inc(1)
		s.g.table.Failed(now, a.replica, errs.ResponseMismatch)
		return s.retryOrMiss(st, errs.Ambiguous(errs.ResponseMismatch, "group %s answered for other shards", o.Group))
	}
	s.g.table.Completed(now, o.Replica, now.Sub(a.sentAt), o.Hint)
	s.policy.Observe(now.Sub(st.firstSent))
	s.g.cfg.Ledger.RecordSuccess(now, s.fp)
	s.proven = true
	s.resolve(st)
	s.cancelRunning(now, st)
	s.releaseCanary()
	return nil
}

func (s *search) attemptFailed(now time.Time, st *groupState, replica model.ReplicaID, err error) *groupState {
	code := errs.As(err).Code
	if code == errs.Canceled {
		s.g.table.Canceled(now, replica)
	} else {
		s.g.table.Failed(now, replica, code)
	}
	if code == errs.VersionGone {
		s.versionGone = true
	}
	if code == errs.UpstreamLost {
		s.recheckPoison()
	}
	st.ended(err)
	if st.resolved || s.poisoned != nil {
		return nil
	}
	if len(st.running) > 0 {
		return nil
	}
	return s.retryOrMiss(st, err)
}

// retryOrMiss decides what happens to a group without attempts in flight.
func (s *search) retryOrMiss(st *groupState, err error) *groupState {
	st.ended(err)
	if errs.Is(err, errs.VersionGone) || !hedge.RetryAllowed(err, true) {
		s.fail(st, err)
		return nil
	}
	if hedge.Misrouted(err) {
		return s.resendMoved(st)
	}
	if st.attempts >= maxAttempts {
		s.fail(st, err)
		return nil
	}
	if !s.released && errs.Is(err, errs.UpstreamLost) && s.canary < len(s.order) {
		s.postpone(st)
		return nil
	}
	if !s.chargeRetry(st, err) {
		s.g.counters.denied.inc(1)
		s.fail(st, err)
		return nil
	}
	if !s.hasAlternative(st) {
		// Every holder refused or failed. Asking them again at once would
		// multiply the load that made them refuse.
		clear(st.tried)
		st.resendAt = time.Now().Add(time.Duration(st.attempts) * exhaustedDelay)
		return nil
	}
	return st
}

// resendMoved sends a group whose owner refused it as not its own. Another
// replica answers at once; only when there is none left does the group wait
// for the views of both VMs to converge. Such sends do not count as attempts,
// because ownership can take seconds to settle after a VM was lost.
func (s *search) resendMoved(st *groupState) *groupState {
	st.attempts--
	if time.Until(s.req.Deadline) < 2*moveDelay {
		s.fail(st, st.lastErr)
		return nil
	}
	if s.hasAlternative(st) {
		return st
	}
	clear(st.tried)
	st.resendAt = time.Now().Add(moveDelay)
	return nil
}

// chargeRetry draws a retry from the extra-load budget. A send that provably
// did not run added no load, and the first replacement of a lost send
// restores coverage rather than adding work; both are always allowed.
func (s *search) chargeRetry(st *groupState, err error) bool {
	if errs.As(err).RunState == errs.DidNotRun {
		return true
	}
	if st.attempts <= 1 {
		s.policy.ForceTakeExtra(1)
		return true
	}
	return s.policy.TryTakeExtra(1) == nil
}

// resend sends groups again. Only a send that replaces one which may have run
// is extra load for the upstreams.
func (s *search) resend(groups []*groupState) {
	if s.poisoned != nil {
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

// connFailed fails the attempts of a batch whose owner was lost.
func (s *search) connFailed(conn *batchConn, err error) {
	now := time.Now()
	var retry []*groupState
	for _, it := range conn.items {
		st := s.groups[it.Group]
		a, running := st.running[it.Attempt]
		if !running {
			continue
		}
		delete(st.running, it.Attempt)
		// The owner may be gone for some seconds before its replicas have a new
		// one; until then other replicas are preferred.
		s.g.table.Failed(now, a.replica, errs.As(err).Code)
		st.ended(err)
		if st.resolved || len(st.running) > 0 {
			continue
		}
		if again := s.retryOrMiss(st, err); again != nil {
			retry = append(retry, again)
		}
	}
	s.g.cfg.Log.WithFields(logrus.Fields{
		"query": s.id, "reason": errs.As(err).Code, "groups": len(conn.items), "resent": len(retry),
	}).Warn("Owner did not complete a batch.")
	s.resend(retry)
}

func (s *search) fail(st *groupState, err error) {
	if st.resolved {
		return
	}
	st.lastErr = err
	s.miss(st, errs.As(err).Code)
}

func (s *search) miss(st *groupState, reason errs.Code) {
	s.collector.RecordMissing(st.choice.Group.ID, reason)
	s.resolve(st)
	if !s.released && !s.anyCanaryLeft() {
		// No canary can answer any more. The next group takes its place.
		s.nextCanary()
	}
}

func (s *search) resolve(st *groupState) {
	if st.resolved {
		return
	}
	st.resolved = true
	s.unresolved--
}
