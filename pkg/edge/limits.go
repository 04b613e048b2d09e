package edge

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/replica"
	"github.com/nutmeghitch/nutmeghitch/pkg/storewatch"
)

const (
	// limitQueueSize limits the changes of request limits that wait to be reported.
	limitQueueSize = 256
	// limitReportStep and maxLimitReportDelay set how long a VM waits before it reports
	// a change: a step for each VM that is ranked before it. Most VMs find that the
	// change was reported meanwhile, and save the call.
	limitReportStep     = 60 * time.Millisecond
	maxLimitReportDelay = 2 * time.Second
	// limitReportInterval is the interval at which due reports are written.
	limitReportInterval = 30 * time.Millisecond
)

// maxReportAttempts limits the attempts to write one report, because a late
// report is of little use.
const maxReportAttempts = 3

// limitReporter tells the other VMs the request limits that replicas name in their
// answers to this one. A VM that has not had such an answer, or that just started,
// then keeps the limit too.
type limitReporter struct {
	controller *controller
	store      Store
	log        logrus.FieldLogger
	queue      chan *forward.Upstream
	// due holds when the limit of each replica is to be reported.
	due map[*forward.Upstream]time.Time
}

func newLimitReporter(c *controller, store Store, log logrus.FieldLogger) *limitReporter {
	return &limitReporter{controller: c, store: store, log: log, queue: make(chan *forward.Upstream, limitQueueSize), due: map[*forward.Upstream]time.Time{}}
}

// report queues a changed limit for the store. It never blocks: when the queue is
// full, the change is not reported.
func (r *limitReporter) report(u *forward.Upstream) {
	select {
	case r.queue <- u:
	default:
		r.log.WithField("replica", u.Member.ID).Warn("request limit not reported: queue is full")
	}
}

// run writes reports to the store, and removes those of replicas that are gone, until
// ctx ends.
func (r *limitReporter) run(ctx context.Context) {
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	var due <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-r.queue:
			if _, queued := r.due[u]; !queued {
				r.due[u] = time.Now().Add(r.delay(ctx, u))
			}
		case <-due:
			due = nil
			r.writeDue(ctx)
		case <-prune.C:
			r.prune(ctx)
		}
		if due == nil && len(r.due) > 0 {
			due = time.After(limitReportInterval)
		}
	}
}

// delay returns how long this VM waits before it reports the limit of a replica.
func (r *limitReporter) delay(ctx context.Context, u *forward.Upstream) time.Duration {
	position, _ := askState(ctx, r.controller, func(s *state) int {
		vms := s.vmNames()
		rank := func(vm string) uint64 { return xxhash.Sum64String(vm + "\x00" + u.Member.ID) }
		slices.SortFunc(vms, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
		return slices.Index(vms, s.settings.VM)
	})
	return min(maxLimitReportDelay, time.Duration(position)*limitReportStep)
}

// writeDue writes the reports that are due.
func (r *limitReporter) writeDue(ctx context.Context) {
	for u, at := range r.due {
		if !time.Now().Before(at) {
			delete(r.due, u)
			r.write(ctx, u)
		}
	}
}

// writeReport calls write until it succeeds, ctx ends, or it has failed
// maxReportAttempts times.
func writeReport(ctx context.Context, write func() error) {
	attempts := 0
	storewatch.Retry(ctx, func() error {
		attempts++
		err := write()
		if attempts >= maxReportAttempts {
			return nil
		}
		return err
	})
}

// write writes the limit of a replica to the store, or removes it there, unless the
// store has it already.
func (r *limitReporter) write(ctx context.Context, u *forward.Upstream) {
	writeReport(ctx, func() error {
		limit := u.Tracker.RequestLimit()
		reported, ok := askState(ctx, r.controller, func(s *state) *discovery.RequestLimit {
			if l, ok := s.limits[u.Member.ID]; ok && l.Born == u.Member.Born && !s.lostLimits[u.Member.ID] {
				return &l
			}
			return nil
		})
		var err error
		switch {
		case !ok, limit.Named && reported != nil && reported.PerSecond == limit.PerSecond, !limit.Named && reported == nil:
			return nil
		case limit.Named:
			err = r.store.ReportRequestLimit(ctx, discovery.RequestLimit{Replica: u.Member.ID, Born: u.Member.Born, PerSecond: limit.PerSecond})
		default:
			err = r.store.DeleteRequestLimit(ctx, u.Member.ID)
		}
		fields := logrus.Fields{"replica": u.Member.ID, "limited": limit.Named, "per_second": limit.PerSecond}
		if err == nil {
			r.log.WithFields(fields).Info("request limit reported to the store")
			return nil
		}
		r.log.WithFields(fields).WithField("error", err).Warn("reporting a request limit to the store failed")
		return err
	})
}

// prune removes the limits of replicas that are gone. Only the coordinator does this.
func (r *limitReporter) prune(ctx context.Context) {
	if !r.controller.isCoordinator.Load() {
		return
	}
	gone, _ := askState(ctx, r.controller, (*state).limitsOfLostReplicas)
	for _, id := range gone {
		if err := r.store.DeleteRequestLimit(ctx, id); err != nil {
			r.log.WithFields(logrus.Fields{"replica": id, "error": err}).Warn("removing the request limit of a lost replica from the store failed")
		}
	}
}

// limitsOfLostReplicas returns the IDs of the replicas with a reported limit that are
// no longer known, or have started again.
func (s *state) limitsOfLostReplicas() []string {
	born := map[string]int64{}
	for _, m := range s.registry.Listed() {
		born[m.ID] = m.Born
	}
	var gone []string
	for id, limit := range s.limits {
		if at, known := born[id]; !known || at != limit.Born {
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	return gone
}

// shareLimit applies a reported limit, or the end of one, to the tracker of its
// replica.
func (s *state) shareLimit(now time.Time, reported discovery.RequestLimit, limit replica.RequestLimit) {
	for k, u := range s.upstreams {
		if k.id == reported.Replica && k.bornUnixMS == reported.Born && u.Tracker.ShareRequestLimit(now, limit) {
			s.log.WithFields(logrus.Fields{"replica": k.id, "limited": limit.Named, "per_second": limit.PerSecond}).Info("request limit learned from another VM")
		}
	}
}

// applyLimit applies a reported, changed or withdrawn request limit. It changes no view.
func (c *controller) applyLimit(now time.Time, item storewatch.Item[discovery.RequestLimit]) bool {
	switch {
	case item.Deleted:
		c.withdrawLimit(now, item.Name)
	case item.Err == nil:
		c.state.limits[item.Name] = item.Value
		delete(c.state.lostLimits, item.Name)
		c.state.shareLimit(now, item.Value, replica.RequestLimit{PerSecond: item.Value.PerSecond, Named: true})
	}
	return false
}

func (c *controller) withdrawLimit(now time.Time, id string) {
	if reported, ok := c.state.limits[id]; ok {
		delete(c.state.limits, id)
		delete(c.state.lostLimits, id)
		c.state.shareLimit(now, reported, replica.RequestLimit{})
	}
}

// removeAbsentLimits withdraws the limits that a complete list does not name.
func (c *controller) removeAbsentLimits(now time.Time, listed map[string]bool) bool {
	for id := range c.state.limits {
		if !listed[id] {
			c.withdrawLimit(now, id)
		}
	}
	return false
}

// reportLostLimits reports the limits again that the store has lost and that the
// replicas still name to this VM.
func (c *controller) reportLostLimits(_ time.Time, lost []storewatch.Item[discovery.RequestLimit]) {
	if c.onLostLimit == nil {
		return
	}
	for _, item := range lost {
		c.state.lostLimits[item.Name] = true
		for k, u := range c.state.upstreams {
			if k.id == item.Name && k.bornUnixMS == item.Value.Born && u.Tracker.RequestLimit().Named {
				c.onLostLimit(u)
			}
		}
	}
}

// currentLimits returns the reported limits.
func (c *controller) currentLimits(time.Time) []storewatch.Item[discovery.RequestLimit] {
	var items []storewatch.Item[discovery.RequestLimit]
	for id, limit := range c.state.limits {
		items = append(items, storewatch.Item[discovery.RequestLimit]{Name: id, Value: limit})
	}
	return items
}
