package control

import (
	"context"
	"strconv"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/membership"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/placement"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// poisonAckTimeout bounds the wait for acks of a report. The caller whose
	// request led to the report waits as long.
	poisonAckTimeout = 100 * time.Millisecond
	// maxDirectReportFleet is the number of VMs up to which an entry is reported to
	// all of them directly.
	maxDirectReportFleet = 32
	// rankedReportTargets is the number of VMs to which an entry is reported
	// directly in a larger fleet. The others learn it by gossip.
	rankedReportTargets = 3
	// poisonListInterval is the interval at which expired entries are removed from
	// the view.
	poisonListInterval = time.Second
	// defaultPoisonTTL is the lifetime of an entry without one. A gossip item
	// without a lifetime would never expire.
	defaultPoisonTTL = 10 * time.Minute
	// pendingReportTTL is how long a report with missing acks is remembered.
	pendingReportTTL = time.Second
)

// pendingReport is a poison report that not all VMs have acknowledged. done is
// closed after the last ack.
type pendingReport struct {
	waiting map[model.VMID]bool
	done    chan struct{}
	at      time.Time
}

// PublishPoison gossips an entry to the tier and reports it directly to some or
// all VMs. It returns when these have acknowledged it, or after
// poisonAckTimeout.
func (c *Controller) PublishPoison(ctx context.Context, e model.PoisonEntry) {
	ctx, cancel := context.WithTimeout(ctx, poisonAckTimeout)
	defer cancel()
	p := poisonPublished{entry: e, done: make(chan struct{})}
	select {
	case c.urgent <- p:
	case <-ctx.Done():
		c.log.Warnf("control: poison entry %x is not sent to other VMs, queue of %d events is full",
			e.Fingerprint, urgentQueueLength)
		return
	}
	select {
	case <-p.done:
	case <-ctx.Done():
	}
}

// poisonKey returns the gossip key of a fingerprint.
func poisonKey(fp uint64) string { return strconv.FormatUint(fp, 16) }

// publishPoison gossips an entry of this VM and reports it to poisonTargets directly.
func (s *state) publishPoison(now time.Time, p poisonPublished) {
	s.poisonDue = true
	if p.entry.TTL <= 0 {
		p.entry.TTL = defaultPoisonTTL
	}
	payload, err := msgpack.Marshal(&p.entry)
	if err != nil {
		s.log.Warnf("control: poison entry %x is not sent to other VMs, encoding failed: %v", p.entry.Fingerprint, err)
		close(p.done)
		return
	}
	fp := p.entry.Fingerprint
	it := s.members.PublishItem(now, wire.PoisonItem, poisonKey(fp), payload, p.entry.TTL)
	w := &pendingReport{waiting: map[model.VMID]bool{}, done: p.done, at: now}
	for _, vm := range s.poisonTargets(fp) {
		w.waiting[vm.ID] = true
		report := &wire.PoisonReport{Entry: p.entry, Sequence: it.Sequence}
		s.io.send(membership.Envelope{To: vm, Message: report}, nil)
	}
	s.log.Infof("control: poison entry %x is gossiped and reported to %d VMs", fp, len(w.waiting))
	if len(w.waiting) == 0 {
		close(w.done)
		return
	}
	s.pendingReports[fp] = w
}

// poisonTargets returns the VMs to which an entry is reported directly: all in a
// small fleet, else the first ones in the rank of the fingerprint.
func (s *state) poisonTargets(fp uint64) []model.VM {
	var live []model.VM
	for id, v := range s.vms {
		if id != s.self && v.State != model.Dead {
			live = append(live, v)
		}
	}
	if len(live) < maxDirectReportFleet {
		return live
	}
	var ranked []model.VM
	for _, id := range placement.Rank(poisonKey(fp), live)[:rankedReportTargets] {
		ranked = append(ranked, s.vms[id])
	}
	return ranked
}

// receivePoison merges a reported entry and then acknowledges it. An ack thus means
// that this VM applies the entry to requests too.
func (s *state) receivePoison(now time.Time, e messageReceived, m *wire.PoisonReport) {
	if payload, err := msgpack.Marshal(&m.Entry); err == nil {
		s.members.MergeItem(now, wire.Item{
			Kind: wire.PoisonItem, Key: poisonKey(m.Entry.Fingerprint), Origin: e.from,
			Sequence: m.Sequence, Payload: payload, TTL: m.Entry.TTL,
		})
	}
	s.mergeGossip(now)
	s.reply(e, &wire.PoisonAck{Fingerprint: m.Entry.Fingerprint})
}

// receivePoisonAck ends the wait of PublishPoison after the last ack.
func (s *state) receivePoisonAck(from model.VMID, m *wire.PoisonAck) {
	w := s.pendingReports[m.Fingerprint]
	if w == nil || !w.waiting[from] {
		return
	}
	delete(w.waiting, from)
	if len(w.waiting) == 0 {
		delete(s.pendingReports, m.Fingerprint)
		close(w.done)
	}
}

// mergePoison merges an entry of another VM into the ledger.
func (s *state) mergePoison(now time.Time, e model.PoisonEntry) {
	if s.controller.cfg.Ledger != nil && s.controller.cfg.Ledger.Merge(now, e) {
		s.poisonDue = true
	}
}

// rebuildPoison replaces the poison entries of the view by those of the ledger.
func (s *state) rebuildPoison(now time.Time) {
	s.poisonDue = false
	s.poisonListedAt = now
	if s.controller.cfg.Ledger == nil {
		return
	}
	list := s.controller.cfg.Ledger.List(now)
	if len(list) == 0 && len(s.poison) == 0 {
		return
	}
	s.poison = make(map[uint64]model.PoisonEntry, len(list))
	for _, e := range list {
		s.poison[e.Fingerprint] = e
	}
	s.viewDue = true
}
