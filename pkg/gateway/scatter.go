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
	// maxAttempts is the maximum number of attempts for a lookup call or for one
	// group of a search. Attempts that did not run count too, except for those that
	// reached a VM that does not own the replica.
	maxAttempts = 8
	// misroutedDelay is the time before an attempt is sent again when every replica
	// was refused by a VM that does not own it. In this time the views of the VMs
	// can converge.
	misroutedDelay = 20 * time.Millisecond
	// allTriedDelay times the number of attempts is the time before replicas that
	// have all refused or failed are tried again.
	allTriedDelay = 5 * time.Millisecond
	// tickInterval is the resolution of the hedge and resend times.
	tickInterval = time.Millisecond
)

// groupState is the state of one group in a search.
type groupState struct {
	choice   snapshot.GroupChoice
	tried    map[model.ReplicaID]bool
	running  map[uint32]send // attempts without an outcome
	attempts int
	// firstSent is the time of the first attempt, sentAt that of the last one.
	firstSent time.Time
	sentAt    time.Time
	hedged    bool
	// hedgeDenied is set once the budget did not allow a hedge, so that the denial
	// is counted once. The budget is asked again at each tick.
	hedgeDenied bool
	// resolved is set once the group has answered or was given up.
	resolved bool
	// resendAt is the time at which the search is sent to the group again, or zero.
	resendAt time.Time
	// postponed is set when the group was a canary and lost its upstream. The
	// search is sent to it again once another group has answered.
	postponed bool
	lastErr   error
	// mayHaveRun is set once an attempt ended and its outcome did not exclude that
	// it ran. The outcomes of later attempts do not change that.
	mayHaveRun bool
}

// recordFailure stores the failure of an attempt.
func (st *groupState) recordFailure(err error) {
	st.lastErr = err
	st.mayHaveRun = st.mayHaveRun || errs.As(err).RunState == errs.MayHaveRun
}

// send is one attempt in flight.
type send struct {
	replica model.ReplicaID
	batch   *ownerBatch
	sentAt  time.Time
}

// search is the execution of one search on one snapshot. Only the goroutine that
// serves the caller may change it; other goroutines send to events.
type search struct {
	g                 *Gateway
	id                string
	ctx               context.Context
	req               frontend.SearchRequest
	svc               *model.Service
	fingerprint       uint64
	choice            snapshot.Choice
	hedgePolicy       *hedge.Policy
	collector         *merge.Collector
	groupByID         map[model.GroupID]*groupState
	groups            []*groupState
	events            chan batchEvent
	batches           []*ownerBatch
	unresolved        int
	lastAttemptNumber uint32
	// canaryCount is the number of groups, from the start of groups, that are sent
	// before one of them has answered.
	canaryCount  int
	lastCanaryAt time.Time
	// canaryReleased is set once the search may be sent to all groups.
	canaryReleased bool
	suspect        bool
	// proven is set once a group has answered. A request that crashes every
	// upstream would have got no answer.
	proven        bool
	versionGone   bool
	poisonRefusal error
}

func (g *Gateway) newSearch(ctx context.Context, svc *model.Service, r frontend.SearchRequest, fingerprint uint64, c snapshot.Choice) *search {
	limit := svc.Limit
	if r.Limit > 0 && r.Limit < limit {
		limit = r.Limit
	}
	id := g.newQueryID()
	s := &search{
		g:           g,
		id:          id,
		ctx:         ctx,
		req:         r,
		svc:         svc,
		fingerprint: fingerprint,
		choice:      c,
		hedgePolicy: g.hedgePolicyFor(r.Service, svc, len(c.Groups)),
		collector:   merge.NewCollector(merge.Config{QueryID: id, Map: c.Map, Order: svc.Order, Limit: limit}),
		groupByID:   make(map[model.GroupID]*groupState, len(c.Groups)),
		groups:      make([]*groupState, 0, len(c.Groups)),
		events:      make(chan batchEvent, 2*len(c.Groups)+8),
	}
	s.req.Limit = limit
	for _, gc := range c.Groups {
		st := &groupState{choice: gc, tried: make(map[model.ReplicaID]bool), running: make(map[uint32]send)}
		s.groupByID[gc.Group.ID] = st
		s.groups = append(s.groups, st)
	}
	s.unresolved = len(s.groups)
	s.planCanary()
	return s
}

// run sends the search to all groups. It returns when every group is resolved,
// the search is blocked, the deadline is reached, or the caller disconnects.
func (s *search) run() {
	defer s.cancelAll()
	timer := time.NewTimer(time.Until(s.req.Deadline) - replyMargin)
	defer timer.Stop()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	s.lastCanaryAt = time.Now()
	s.sendGroups(s.groups[:s.canaryCount], "primary")
	for s.unresolved > 0 && s.poisonRefusal == nil {
		select {
		case e := <-s.events:
			s.handleEvent(e)
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

// onTick sends the hedges and resends that are due, and adds a canary if the
// others are slow.
func (s *search) onTick(now time.Time) {
	if s.unresolved == 0 {
		return
	}
	delay := s.hedgePolicy.Delay()
	if !s.canaryReleased && now.Sub(s.lastCanaryAt) >= delay {
		// The report of a lost upstream arrives before the owner's outcome.
		s.recheckPoison()
	}
	if !s.canaryReleased && now.Sub(s.lastCanaryAt) >= delay && s.canaryCount < len(s.groups) && !s.suspect && s.poisonRefusal == nil {
		// The canary is slow. One more canary adds no load, because every group has
		// to be searched anyway.
		s.lastCanaryAt = now
		s.canaryCount++
		s.sendGroups(s.groups[s.canaryCount-1:s.canaryCount], "canary_slow")
	}
	var hedges, moves []*groupState
	for _, st := range s.groups {
		switch {
		case st.resolved, st.postponed:
		case !st.resendAt.IsZero():
			if !now.Before(st.resendAt) {
				st.resendAt = time.Time{}
				moves = append(moves, st)
			}
		case s.takeHedge(st, now, delay):
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

// takeHedge reports whether a hedge for a group is due, and takes it from the
// extra-load budget.
func (s *search) takeHedge(st *groupState, now time.Time, delay time.Duration) bool {
	if s.g.cfg.Policy.NoHedges || st.hedged || s.suspect || !s.canaryReleased || len(st.running) == 0 || now.Sub(st.sentAt) < delay {
		return false
	}
	if !s.hasUntriedReplica(st) {
		st.hedged = true
		return false
	}
	if err := s.hedgePolicy.TryTakeExtra(1); err != nil {
		if !st.hedgeDenied {
			st.hedgeDenied = true
			s.g.counters.deniedSends.inc(1)
		}
		return false
	}
	st.hedged = true
	return true
}

// hasUntriedReplica reports whether a replica of the group can get work and has
// not been tried yet.
func (s *search) hasUntriedReplica(st *groupState) bool {
	v := s.g.cfg.View.Current()
	return len(s.g.candidates(v, st.choice.Holders, st.tried, nil)) > 0
}

// sendGroups picks a replica for each of the groups and sends one batch to each
// owner of these replicas.
func (s *search) sendGroups(groups []*groupState, reason string) {
	now := time.Now()
	v := s.g.cfg.View.Current()
	itemsByOwner := make(map[model.VMID][]wire.SearchItem)
	var buf []routing.Candidate
	for _, st := range groups {
		buf = s.g.candidates(v, st.choice.Holders, st.tried, buf[:0])
		if len(buf) == 0 && len(st.running) == 0 {
			// Every replica was tried. One of them may have recovered.
			buf = s.g.candidates(v, st.choice.Holders, nil, buf)
		}
		pick, ok := s.g.routingTable.Pick(now, buf)
		if !ok {
			s.giveUp(st, errs.Refuse(errs.NoReplica, "group %s has no replica for new work", st.choice.Group.ID))
			continue
		}
		s.lastAttemptNumber++
		st.tried[pick.Replica] = true
		st.attempts++
		st.sentAt = now
		if st.attempts == 1 {
			st.firstSent = now
		}
		st.running[s.lastAttemptNumber] = send{replica: pick.Replica, sentAt: now}
		s.g.routingTable.Sent(now, pick.Replica)
		owner := v.Owners[pick.Replica]
		itemsByOwner[owner] = append(itemsByOwner[owner], wire.SearchItem{
			Group: st.choice.Group.ID, Replica: pick.Replica, Attempt: s.lastAttemptNumber,
		})
	}
	s.countSends(reason, itemsByOwner)
	for owner, items := range itemsByOwner {
		s.logBatch(reason, owner, items)
		// A retry is not marked as proven, even if other groups have answered: the
		// search may crash the next upstream of the same group as well.
		s.sendBatch(v.VMs[owner], items, s.proven && reason != "retry")
	}
}

func (s *search) countSends(reason string, itemsByOwner map[model.VMID][]wire.SearchItem) {
	n := 0
	for _, items := range itemsByOwner {
		n += len(items)
	}
	switch reason {
	case "hedge":
		s.g.counters.hedgeSends.inc(n)
	case "retry":
		s.g.counters.retrySends.inc(n)
	case "moved":
		s.g.counters.movedSends.inc(n)
	default:
		s.hedgePolicy.RecordPrimarySends(n)
		s.g.counters.primarySends.inc(n)
	}
}

func (s *search) logBatch(reason string, owner model.VMID, items []wire.SearchItem) {
	s.g.cfg.Log.WithFields(logrus.Fields{
		"query": s.id, "request": s.req.RequestID, "reason": reason, "owner": owner, "choice": formatChoices(items),
	}).Info("batch of groups sent to an owner")
}

// formatChoices returns the groups and replicas of a batch as group:replica
// pairs, separated by spaces.
func formatChoices(items []wire.SearchItem) string {
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

// expire resolves all remaining groups as missing.
func (s *search) expire(code errs.Code) {
	s.canaryReleased = true // prevents further canaries
	for _, st := range s.groups {
		if st.resolved {
			continue
		}
		reason := code
		st.mayHaveRun = st.mayHaveRun || len(st.running) > 0
		if len(st.running) == 0 && st.lastErr != nil {
			reason = errs.As(st.lastErr).Code
		}
		s.resolveMissing(st, reason)
	}
}

// cancelAll cancels all running attempts and closes all batches.
func (s *search) cancelAll() {
	now := time.Now()
	for _, st := range s.groups {
		s.cancelRunning(now, st)
	}
	for _, b := range s.batches {
		b.close()
	}
}

// cancelRunning cancels the running attempts of a group and records them in the
// routing table.
func (s *search) cancelRunning(now time.Time, st *groupState) {
	for id, a := range st.running {
		delete(st.running, id)
		st.mayHaveRun = true
		s.g.routingTable.CanceledAfter(now, a.replica, now.Sub(a.sentAt))
		a.batch.cancel(id)
	}
}

// answer returns the merged rows. It fails if the search is blocked or no group
// has answered.
func (s *search) answer() (*frontend.SearchAnswer, error) {
	if s.poisonRefusal != nil {
		return nil, s.poisonRefusal
	}
	rows, coverage := s.collector.Finish()
	if coverage.Covered == 0 && coverage.Total > 0 {
		return nil, s.noAnswerRefusal()
	}
	if coverage.Covered < coverage.Total {
		s.g.counters.partialAnswers.Inc(1)
	}
	return &frontend.SearchAnswer{
		Snapshot: s.choice.Snapshot,
		Coverage: coverage,
		Rows:     rows,
	}, nil
}

// noAnswerRefusal returns the refusal of a search that no group answered. Its run
// state is DidNotRun only if no attempt at any group may have run.
func (s *search) noAnswerRefusal() error {
	code := errs.DeadlineExceeded
	for _, st := range s.groups {
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

// mayHaveRun reports whether an attempt at any group may have run.
func (s *search) mayHaveRun() bool {
	for _, st := range s.groups {
		if st.mayHaveRun {
			return true
		}
	}
	return false
}
