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
	// poisonWait bounds the wait for acks, during which the caller waits too.
	poisonWait = 100 * time.Millisecond
	// poisonDirect is the fleet size up to which all VMs are told directly.
	poisonDirect = 32
	// poisonRanked is the number of VMs told directly in a larger fleet.
	poisonRanked = 3
	// poisonRefresh is the interval at which expired entries leave the view.
	poisonRefresh = time.Second
	// poisonTTL is the lifetime of an entry that names none. An item without a
	// lifetime would be gossiped for ever.
	poisonTTL = 10 * time.Minute
	// spreadKeep bounds the life of the record of a report without all acks.
	spreadKeep = time.Second
)

// spread is a poison report whose acks are awaited.
type spread struct {
	waiting map[model.VMID]bool
	done    chan struct{}
	at      time.Time
}

// PublishPoison gossips an entry to the tier and reports it directly to some or
// all VMs. It returns when these have acknowledged it, or after poisonWait.
func (c *Controller) PublishPoison(ctx context.Context, e model.PoisonEntry) {
	ctx, cancel := context.WithTimeout(ctx, poisonWait)
	defer cancel()
	p := poisoned{entry: e, done: make(chan struct{})}
	select {
	case c.urgent <- p:
	case <-ctx.Done():
		c.log.Warnf("control: poison entry %x is not sent to other VMs, queue of %d events is full", e.Fingerprint, urgentQueue)
		return
	}
	select {
	case <-p.done:
	case <-ctx.Done():
	}
}

func poisonKey(fp uint64) string { return strconv.FormatUint(fp, 16) }

// spreadPoison gossips an entry of this VM and reports it directly.
func (s *state) spreadPoison(now time.Time, p poisoned) {
	s.poisonDue = true
	if p.entry.TTL <= 0 {
		p.entry.TTL = poisonTTL
	}
	payload, err := msgpack.Marshal(&p.entry)
	if err != nil {
		s.log.Warnf("control: poison entry %x cannot be encoded: %v", p.entry.Fingerprint, err)
		close(p.done)
		return
	}
	fp := p.entry.Fingerprint
	it := s.members.PublishItem(now, wire.PoisonItem, poisonKey(fp), payload, p.entry.TTL)
	w := &spread{waiting: map[model.VMID]bool{}, done: p.done, at: now}
	for _, vm := range s.poisonTargets(fp) {
		w.waiting[vm.ID] = true
		report := &wire.PoisonReport{Entry: p.entry, Sequence: it.Sequence}
		s.io.send(membership.Envelope{To: vm, Message: report}, nil)
	}
	s.log.Infof("control: sent poison entry %x to %d VMs", fp, len(w.waiting))
	if len(w.waiting) == 0 {
		close(w.done)
		return
	}
	s.spreads[fp] = w
}

func (s *state) poisonTargets(fp uint64) []model.VM {
	var live []model.VM
	for id, v := range s.vms {
		if id != s.self && v.State != model.Dead {
			live = append(live, v)
		}
	}
	if len(live) < poisonDirect {
		return live
	}
	var ranked []model.VM
	for _, id := range placement.Rank(poisonKey(fp), live)[:poisonRanked] {
		ranked = append(ranked, s.vms[id])
	}
	return ranked
}

// receivePoison merges a report before it is acknowledged, so an ack means
// that the sender of the request meets the verdict here too.
func (s *state) receivePoison(now time.Time, e received, m *wire.PoisonReport) {
	if payload, err := msgpack.Marshal(&m.Entry); err == nil {
		s.members.MergeItem(now, wire.Item{
			Kind: wire.PoisonItem, Key: poisonKey(m.Entry.Fingerprint), Origin: e.from,
			Sequence: m.Sequence, Payload: payload, TTL: m.Entry.TTL,
		})
	}
	s.takeItems(now)
	s.reply(e, &wire.PoisonAck{Fingerprint: m.Entry.Fingerprint})
}

func (s *state) receivePoisonAck(from model.VMID, m *wire.PoisonAck) {
	w := s.spreads[m.Fingerprint]
	if w == nil || !w.waiting[from] {
		return
	}
	delete(w.waiting, from)
	if len(w.waiting) == 0 {
		delete(s.spreads, m.Fingerprint)
		close(w.done)
	}
}

func (s *state) mergePoison(now time.Time, e model.PoisonEntry) {
	if s.c.cfg.Ledger != nil && s.c.cfg.Ledger.Merge(now, e) {
		s.poisonDue = true
	}
}

// listPoison rebuilds the entries of the view from the ledger.
func (s *state) listPoison(now time.Time) {
	s.poisonDue = false
	s.lastPoison = now
	if s.c.cfg.Ledger == nil {
		return
	}
	list := s.c.cfg.Ledger.List(now)
	if len(list) == 0 && len(s.poison) == 0 {
		return
	}
	s.poison = make(map[uint64]model.PoisonEntry, len(list))
	for _, e := range list {
		s.poison[e.Fingerprint] = e
	}
	s.dirty = true
}
