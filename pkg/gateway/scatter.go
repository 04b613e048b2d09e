package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/frontend"
	"github.com/nutmeghitch/nutmeghitch/pkg/hedge"
	"github.com/nutmeghitch/nutmeghitch/pkg/merge"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/routing"
	"github.com/nutmeghitch/nutmeghitch/pkg/snapshot"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// maxAttempts bounds the sends for one group of one search, moves included.
	maxAttempts = 8
	// moveDelay is waited before a send is repeated after an ownership
	// change, so that the views of both VMs can converge.
	moveDelay = 20 * time.Millisecond
	// exhaustedDelay, times the attempts so far, is waited before holders that
	// have all refused are asked again.
	exhaustedDelay = 5 * time.Millisecond
	// hedgeTick is the resolution of hedge and move timers.
	hedgeTick = time.Millisecond
)

// groupState is the progress of one group of a search.
type groupState struct {
	choice   snapshot.GroupChoice
	tried    map[model.ReplicaID]bool
	running  map[uint32]send // attempts without an outcome
	attempts int
	// firstSent is the time of the first send, sentAt of the last one.
	firstSent time.Time
	sentAt    time.Time
	hedged    bool
	// denied is set when the budget did not allow a hedge; it is asked again.
	denied   bool
	resolved bool
	resendAt time.Time // not zero while a move waits
	// postponed is set when the group's canary lost its upstream: the group is
	// sent again with the others, once another group has answered.
	postponed bool
	lastErr   error
	// mayHaveRun is set once an attempt ended without the word that it did not
	// run. What later attempts say cannot take that back.
	mayHaveRun bool
}

// ended notes how an attempt failed.
func (st *groupState) ended(err error) {
	st.lastErr = err
	st.mayHaveRun = st.mayHaveRun || errs.As(err).RunState == errs.MayHaveRun
}

// send is one attempt in flight.
type send struct {
	replica model.ReplicaID
	via     *batchConn
	sentAt  time.Time
}

// search is the execution of one search on one snapshot. All its fields are
// used by the goroutine that serves the caller only.
type search struct {
	g          *Gateway
	id         string
	ctx        context.Context
	req        frontend.SearchRequest
	svc        *model.Service
	fp         uint64
	choice     snapshot.Choice
	policy     *hedge.Policy
	collector  *merge.Collector
	groups     map[model.GroupID]*groupState
	order      []*groupState
	events     chan event
	conns      []*batchConn
	unresolved int
	nextID     uint32
	// canary is the number of groups sent before one of them has answered.
	canary   int
	canaryAt time.Time
	released bool
	suspect  bool
	// proven is set once a group has answered: a request that crashes each
	// upstream that runs it would not have got an answer.
	proven      bool
	versionGone bool
	poisoned    error
}

func (g *Gateway) newSearch(ctx context.Context, svc *model.Service, r frontend.SearchRequest, fp uint64, c snapshot.Choice) *search {
	limit := svc.Limit
	if r.Limit > 0 && r.Limit < limit {
		limit = r.Limit
	}
	id := g.newQueryID()
	s := &search{
		g:         g,
		id:        id,
		ctx:       ctx,
		req:       r,
		svc:       svc,
		fp:        fp,
		choice:    c,
		policy:    g.policy(r.Service, svc, len(c.Groups)),
		collector: merge.NewCollector(merge.Config{QueryID: id, Map: c.Map, Order: svc.Order, Limit: limit}),
		groups:    make(map[model.GroupID]*groupState, len(c.Groups)),
		order:     make([]*groupState, 0, len(c.Groups)),
		events:    make(chan event, 2*len(c.Groups)+8),
	}
	s.req.Limit = limit
	for _, gc := range c.Groups {
		st := &groupState{choice: gc, tried: make(map[model.ReplicaID]bool), running: make(map[uint32]send)}
		s.groups[gc.Group.ID] = st
		s.order = append(s.order, st)
	}
	s.unresolved = len(s.order)
	s.planCanary()
	return s
}

// run scatters the search and returns when every group is resolved or the
// deadline has come.
func (s *search) run() {
	defer s.finish()
	timer := time.NewTimer(time.Until(s.req.Deadline) - replyMargin)
	defer timer.Stop()
	tick := time.NewTicker(hedgeTick)
	defer tick.Stop()
	s.canaryAt = time.Now()
	s.sendGroups(s.order[:s.canary], "primary")
	for s.unresolved > 0 && s.poisoned == nil {
		select {
		case e := <-s.events:
			s.handle(e)
		case <-tick.C:
			s.onTick(time.Now())
		case <-timer.C:
			s.expire(errs.DeadlineExceeded)
			return
		case <-s.ctx.Done():
			s.expire(errs.Canceled)
			return
		}
	}
}

// onTick arms hedges, resends moved groups and widens the canary.
func (s *search) onTick(now time.Time) {
	if s.unresolved == 0 {
		return
	}
	delay := s.policy.Delay()
	if !s.released && now.Sub(s.canaryAt) >= delay {
		// The report of a loss arrives before the owner's outcome does.
		s.recheckPoison()
	}
	if !s.released && now.Sub(s.canaryAt) >= delay && s.canary < len(s.order) && !s.suspect && s.poisoned == nil {
		// The canary is slow: ask one more group, which has to be asked anyway.
		s.canaryAt = now
		s.canary++
		s.sendGroups(s.order[s.canary-1:s.canary], "canary_slow")
	}
	var hedges, moves []*groupState
	for _, st := range s.order {
		switch {
		case st.resolved, st.postponed:
		case !st.resendAt.IsZero():
			if !now.Before(st.resendAt) {
				st.resendAt = time.Time{}
				moves = append(moves, st)
			}
		case s.hedgeDue(st, now, delay):
			hedges = append(hedges, st)
		}
	}
	if len(moves) > 0 {
		s.sendGroups(moves, "moved")
	}
	if len(hedges) > 0 {
		s.sendGroups(hedges, "hedge")
	}
}

func (s *search) hedgeDue(st *groupState, now time.Time, delay time.Duration) bool {
	if s.g.cfg.Policy.NoHedges || st.hedged || s.suspect || !s.released || len(st.running) == 0 || now.Sub(st.sentAt) < delay {
		return false
	}
	if !s.hasAlternative(st) {
		st.hedged = true
		return false
	}
	if err := s.policy.TryTakeExtra(1); err != nil {
		if !st.denied {
			st.denied = true
			s.g.counters.denied.inc(1)
		}
		return false
	}
	st.hedged = true
	return true
}

func (s *search) hasAlternative(st *groupState) bool {
	v := s.g.cfg.View.Current()
	return len(s.g.candidates(v, st.choice.Holders, st.tried, nil)) > 0
}

// sendGroups picks a replica for each group and sends one batch per owner.
func (s *search) sendGroups(groups []*groupState, reason string) {
	now := time.Now()
	v := s.g.cfg.View.Current()
	batches := make(map[model.VMID][]wire.SearchItem)
	var buf []routing.Candidate
	for _, st := range groups {
		buf = s.g.candidates(v, st.choice.Holders, st.tried, buf[:0])
		if len(buf) == 0 && len(st.running) == 0 {
			// Every holder was tried; a second try may find it free again.
			buf = s.g.candidates(v, st.choice.Holders, nil, buf)
		}
		pick, ok := s.g.table.Pick(now, buf)
		if !ok {
			s.fail(st, errs.Refuse(errs.NoReplica, "group %s has no replica for new work", st.choice.Group.ID))
			continue
		}
		s.nextID++
		st.tried[pick.Replica] = true
		st.attempts++
		st.sentAt = now
		if st.attempts == 1 {
			st.firstSent = now
		}
		st.running[s.nextID] = send{replica: pick.Replica, sentAt: now}
		s.g.table.Sent(now, pick.Replica)
		owner := v.Owners[pick.Replica]
		batches[owner] = append(batches[owner], wire.SearchItem{
			Group: st.choice.Group.ID, Replica: pick.Replica, Attempt: s.nextID,
		})
	}
	s.count(reason, batches)
	for owner, items := range batches {
		s.logRouting(reason, owner, items)
		// A group that lost an upstream while running this search may lose the
		// next one to it as well, whatever the other groups have answered.
		s.sendBatch(v.VMs[owner], items, s.proven && reason != "retry")
	}
}

func (s *search) count(reason string, batches map[model.VMID][]wire.SearchItem) {
	n := 0
	for _, items := range batches {
		n += len(items)
	}
	switch reason {
	case "hedge":
		s.g.counters.hedges.inc(n)
	case "retry":
		s.g.counters.retries.inc(n)
	case "moved":
		s.g.counters.moves.inc(n)
	default:
		s.policy.RecordPrimarySends(n)
		s.g.counters.primaries.inc(n)
	}
}

func (s *search) logRouting(reason string, owner model.VMID, items []wire.SearchItem) {
	s.g.cfg.Log.WithFields(logrus.Fields{
		"query": s.id, "request": s.req.RequestID, "reason": reason, "owner": owner, "choice": choices(items),
	}).Info("Routed groups.")
}

// choices renders group:replica pairs for the log.
func choices(items []wire.SearchItem) string {
	b := make([]byte, 0, 32*len(items))
	for i, it := range items {
		if i > 0 {
			b = append(b, ' ')
		}
		b = append(b, it.Group...)
		b = append(b, ':')
		b = append(b, it.Replica...)
	}
	return string(b)
}

func (s *search) expire(code errs.Code) {
	s.released = true // no further canary
	for _, st := range s.order {
		if st.resolved {
			continue
		}
		reason := code
		st.mayHaveRun = st.mayHaveRun || len(st.running) > 0
		if len(st.running) == 0 && st.lastErr != nil {
			reason = errs.As(st.lastErr).Code
		}
		s.miss(st, reason)
	}
}

// finish cancels what is still running and reports it to the routing table.
func (s *search) finish() {
	now := time.Now()
	for _, st := range s.order {
		s.cancelRunning(now, st)
	}
	for _, c := range s.conns {
		c.close()
	}
}

func (s *search) cancelRunning(now time.Time, st *groupState) {
	for id, a := range st.running {
		delete(st.running, id)
		st.mayHaveRun = true
		s.g.table.CanceledAfter(now, a.replica, now.Sub(a.sentAt))
		a.via.cancel(id)
	}
}

func (s *search) answer() (*frontend.SearchAnswer, error) {
	if s.poisoned != nil {
		return nil, s.poisoned
	}
	rows, coverage := s.collector.Finish()
	if coverage.Covered == 0 && coverage.Total > 0 {
		return nil, s.nothingCovered()
	}
	if coverage.Covered < coverage.Total {
		s.g.counters.partialSent.Inc(1)
	}
	return &frontend.SearchAnswer{
		Snapshot: s.choice.Snapshot,
		Coverage: coverage,
		Rows:     rows,
	}, nil
}

// nothingCovered explains a search that no group answered. It may have run
// unless every attempt at every group says otherwise.
func (s *search) nothingCovered() error {
	code := errs.DeadlineExceeded
	for _, st := range s.order {
		if st.lastErr != nil {
			code = errs.As(st.lastErr).Code
		}
		if st.lastErr != nil {
			code = errs.As(st.lastErr).Code
		}
	}
	state := errs.DidNotRun
	if s.mayHaveRun() {
		state = errs.MayHaveRun
	}
	return &errs.Refusal{Code: code, RunState: state, Detail: "no group answered", RetryAfter: time.Second}
}

func (s *search) mayHaveRun() bool {
	for _, st := range s.order {
		if st.mayHaveRun {
			return true
		}
	}
	return false
}
