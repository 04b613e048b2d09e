package membership

import (
	"bytes"
	"math/bits"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// PiggybackLimit is the size limit of a Ping or Ack frame in bytes. It
	// keeps the control traffic of a VM near 11 KB/s.
	PiggybackLimit = 1400
	// retransmit is multiplied by log2 of the number of VMs to give how often
	// an update is sent.
	retransmit = 3
	// pingOverhead bounds the encoded size of a Ping without members and items.
	pingOverhead = wire.FrameHeaderBytes + 48
	// memberOverhead and itemOverhead bound the encoded size of an entry
	// without its strings.
	memberOverhead = 34
	itemOverhead   = 48
)

// itemKey identifies an item.
type itemKey struct {
	kind wire.ItemKind
	key  string
}

type storedItem struct {
	item wire.Item
	// expires is zero for an item without a TTL.
	expires time.Time
}

func memberSize(w wire.Member) int {
	return memberOverhead + len(w.ID) + len(w.Addr) + len(w.Domain) + len(w.Region)
}

func itemSize(it wire.Item) int {
	return itemOverhead + len(it.Key) + len(it.Origin) + len(it.Payload)
}

// updateKey names what an update is about: a VM or an item.
type updateKey struct {
	vm   model.VMID
	item itemKey
}

type update struct {
	key  updateKey
	sent int
	// replaced marks an update whose key was queued again.
	replaced bool
}

// queue holds updates to gossip, those that were never sent first.
type queue struct {
	pending map[updateKey]*update
	fresh   []*update
	sent    []*update
}

func (q *queue) init() { q.pending = map[updateKey]*update{} }

func (q *queue) add(k updateKey) {
	if old := q.pending[k]; old != nil {
		old.replaced = true
	}
	u := &update{key: k}
	q.pending[k] = u
	q.fresh = append(q.fresh, u)
}

// peek returns the next update and the list that it heads, or nil.
func (q *queue) peek() (*update, *[]*update) {
	for _, list := range []*[]*update{&q.fresh, &q.sent} {
		for len(*list) > 0 {
			if u := (*list)[0]; !u.replaced {
				return u, list
			}
			*list = (*list)[1:]
		}
	}
	return nil, nil
}

func (q *queue) empty() bool {
	u, _ := q.peek()
	return u == nil
}

// requeue takes back updates that were sent, those sent often enough excepted.
func (q *queue) requeue(list []*update, limit int) {
	for _, u := range list {
		if u.sent < limit {
			q.sent = append(q.sent, u)
		} else {
			delete(q.pending, u.key)
		}
	}
}

// piggyback adds queued updates to the entries that a message must carry.
// Updates of VMs come first: during an index roll the updates of 6,500
// replicas fill all messages for minutes, and a death must not wait for them.
// While items wait they get half of the room, because after a start of the
// whole fleet updates of VMs fill all messages as well.
func (m *Machine) piggyback(from wire.Member, members []wire.Member) ([]wire.Member, []wire.Item) {
	room := PiggybackLimit - pingOverhead - memberSize(from)
	for _, w := range members {
		room -= memberSize(w)
	}
	limit := retransmit * bits.Len(uint(m.live+1))
	share := room
	if !m.itemQueue.empty() {
		share = room / 2
	}
	updates, _, sent := m.fill(&m.memberQueue, share)
	members = append(members, updates...)
	room -= size(updates, nil)
	_, items, sentItems := m.fill(&m.itemQueue, room)
	room -= size(nil, items)
	// What items leave goes to VMs.
	more, _, sentMore := m.fill(&m.memberQueue, room)
	members = append(members, more...)
	m.memberQueue.requeue(append(sent, sentMore...), limit)
	m.itemQueue.requeue(sentItems, limit)
	return members, items
}

// fill takes updates from a queue as long as they fit into room.
func (m *Machine) fill(q *queue, room int) (members []wire.Member, items []wire.Item, sent []*update) {
	for {
		u, list := q.peek()
		if u == nil {
			return members, items, sent
		}
		w, it, ok := m.content(u.key)
		need := memberSize(w)
		if it.Kind != 0 {
			need = itemSize(it)
		}
		if !ok || need > PiggybackLimit/2 {
			// Large items spread by state exchange only.
			*list = (*list)[1:]
			delete(q.pending, u.key)
			continue
		}
		if need > room {
			return members, items, sent
		}
		*list = (*list)[1:]
		room -= need
		if it.Kind != 0 {
			items = append(items, it)
		} else {
			members = append(members, w)
		}
		u.sent++
		sent = append(sent, u)
	}
}

// content returns the current state behind an update.
func (m *Machine) content(k updateKey) (wire.Member, wire.Item, bool) {
	if k.vm == m.self.ID {
		return m.member(), wire.Item{}, true
	}
	if k.vm != "" {
		r := m.records[k.vm]
		if r == nil {
			return wire.Member{}, wire.Item{}, false
		}
		return wire.MemberOf(r.vm), wire.Item{}, true
	}
	s := m.items[k.item]
	if s == nil {
		return wire.Member{}, wire.Item{}, false
	}
	return wire.Member{}, s.at(m.lastTick), true
}

// at returns the item with the lifetime that remains.
func (s *storedItem) at(now time.Time) wire.Item {
	it := s.item
	if !s.expires.IsZero() {
		it.TTL = max(time.Millisecond, s.expires.Sub(now))
	}
	return it
}

// MergeItem takes an item that a peer sent outside of gossip.
func (m *Machine) MergeItem(now time.Time, it wire.Item) { m.applyItem(now, it) }

// PublishItem sets an item from this VM and returns it. It outranks every item
// known under the key. Sequences follow the clock, so that a VM that restarted outranks the
// items of its former life, which it does not know.
func (m *Machine) PublishItem(now time.Time, kind wire.ItemKind, key string, payload []byte, ttl time.Duration) wire.Item {
	it := wire.Item{Kind: kind, Key: key, Origin: m.self.ID, Payload: payload, TTL: ttl}
	it.Sequence = uint64(now.UnixMilli())
	if old := m.items[itemKey{kind, key}]; old != nil {
		it.Sequence = max(it.Sequence, old.item.Sequence+1)
	}
	m.storeItem(now, it)
	return it
}

// applyItem takes an item of a peer if it outranks the known one.
func (m *Machine) applyItem(now time.Time, it wire.Item) {
	if it.Kind == 0 {
		return
	}
	old := m.items[itemKey{it.Kind, it.Key}]
	if old != nil && !outranks(it, old.item) {
		return
	}
	m.storeItem(now, it)
	m.changed[itemKey{it.Kind, it.Key}] = true
}

// outranks is a total order. The payload decides between items that two lives
// of one VM published under the same sequence.
func outranks(a, b wire.Item) bool {
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	if a.Origin != b.Origin {
		return a.Origin > b.Origin
	}
	return bytes.Compare(a.Payload, b.Payload) > 0
}

func (m *Machine) storeItem(now time.Time, it wire.Item) {
	k := itemKey{it.Kind, it.Key}
	s := &storedItem{item: it}
	if it.TTL > 0 {
		s.expires = now.Add(it.TTL)
	}
	m.items[k] = s
	m.itemQueue.add(updateKey{item: k})
}

func (m *Machine) expireItems(now time.Time) {
	for k, s := range m.items {
		if !s.expires.IsZero() && !now.Before(s.expires) {
			delete(m.items, k)
		}
	}
}

// TakeChangedItems returns the items that peers changed since the last call.
func (m *Machine) TakeChangedItems() []wire.Item {
	if len(m.changed) == 0 {
		return nil
	}
	var list []wire.Item
	for k := range m.changed {
		if s := m.items[k]; s != nil {
			list = append(list, s.at(m.lastTick))
		}
	}
	clear(m.changed)
	return list
}

// HasItem reports whether an item is known that has not expired.
func (m *Machine) HasItem(now time.Time, kind wire.ItemKind, key string) bool {
	s := m.items[itemKey{kind, key}]
	return s != nil && (s.expires.IsZero() || now.Before(s.expires))
}

// DeleteItem removes an item that no longer has a meaning, such as the status of
// a replica that left the configuration.
func (m *Machine) DeleteItem(kind wire.ItemKind, key string) { delete(m.items, itemKey{kind, key}) }
