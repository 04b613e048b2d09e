package membership

import (
	"bytes"
	"math/bits"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// MaxPingFrameBytes is the size limit of a Ping or Ack frame. It keeps the
	// control traffic of a VM near 11 KB/s.
	MaxPingFrameBytes = 1400
	// retransmitFactor times log2 of the number of VMs is how often an update is sent.
	retransmitFactor = 3
	// maxPingOverheadBytes is an upper bound for the encoded size of a Ping without
	// its members and items.
	maxPingOverheadBytes = wire.FrameHeaderBytes + 48
	// maxMemberOverheadBytes and maxItemOverheadBytes are upper bounds for the encoded
	// size of an entry without its strings and payload.
	maxMemberOverheadBytes = 34
	maxItemOverheadBytes   = 48
)

// itemKey identifies an item.
type itemKey struct {
	kind wire.ItemKind
	key  string
}

// storedItem is a known item with its expiry.
type storedItem struct {
	item wire.Item
	// expiresAt is zero for an item without a TTL.
	expiresAt time.Time
}

// memberBytes returns an upper bound for the encoded size of a member.
func memberBytes(w wire.Member) int {
	return maxMemberOverheadBytes + len(w.ID) + len(w.Addr) + len(w.Domain) + len(w.Region)
}

// itemBytes returns an upper bound for the encoded size of an item.
func itemBytes(it wire.Item) int {
	return maxItemOverheadBytes + len(it.Key) + len(it.Origin) + len(it.Payload)
}

// updateKey identifies the subject of an update, which is either a VM or an item.
type updateKey struct {
	vm   model.VMID
	item itemKey
}

// update is a queued change. It carries no state: the state is read when it is sent.
type update struct {
	key       updateKey
	sendCount int
	// replaced is set when the same key is queued again.
	replaced bool
}

// updateQueue holds the updates to gossip. Those that were never sent come first.
type updateQueue struct {
	pending map[updateKey]*update
	unsent  []*update
	sent    []*update
}

func (q *updateQueue) init() { q.pending = map[updateKey]*update{} }

func (q *updateQueue) add(k updateKey) {
	if old := q.pending[k]; old != nil {
		old.replaced = true
	}
	u := &update{key: k}
	q.pending[k] = u
	q.unsent = append(q.unsent, u)
}

// peek returns the next update and the list in which it comes first, or nil.
func (q *updateQueue) peek() (*update, *[]*update) {
	for _, list := range []*[]*update{&q.unsent, &q.sent} {
		for len(*list) > 0 {
			if u := (*list)[0]; !u.replaced {
				return u, list
			}
			*list = (*list)[1:]
		}
	}
	return nil, nil
}

func (q *updateQueue) empty() bool {
	u, _ := q.peek()
	return u == nil
}

// requeue puts updates that were sent fewer than maxSends times at the end of the
// queue and removes the others.
func (q *updateQueue) requeue(list []*update, maxSends int) {
	for _, u := range list {
		if u.sendCount < maxSends {
			q.sent = append(q.sent, u)
		} else {
			delete(q.pending, u.key)
		}
	}
}

// piggyback adds queued updates to the members that a message must carry, up to
// MaxPingFrameBytes. Updates of VMs come first: during an index roll the updates of
// 6,500 replicas fill all messages for minutes, and the death of a VM must spread
// before them. Items that wait get half of the remaining bytes, because after a start
// of the whole fleet the updates of VMs fill all messages as well.
func (m *Machine) piggyback(from wire.Member, members []wire.Member) ([]wire.Member, []wire.Item) {
	remainingBytes := MaxPingFrameBytes - maxPingOverheadBytes - memberBytes(from)
	for _, w := range members {
		remainingBytes -= memberBytes(w)
	}
	maxSends := retransmitFactor * bits.Len(uint(m.liveCount+1))
	memberBudgetBytes := remainingBytes
	if !m.itemQueue.empty() {
		memberBudgetBytes = remainingBytes / 2
	}
	updates, _, sent := m.takeUpdates(&m.memberQueue, memberBudgetBytes)
	members = append(members, updates...)
	remainingBytes -= entriesBytes(updates, nil)
	_, items, sentItems := m.takeUpdates(&m.itemQueue, remainingBytes)
	remainingBytes -= entriesBytes(nil, items)
	// Bytes that the items do not use go to further updates of VMs.
	moreMembers, _, sentMore := m.takeUpdates(&m.memberQueue, remainingBytes)
	members = append(members, moreMembers...)
	m.memberQueue.requeue(append(sent, sentMore...), maxSends)
	m.itemQueue.requeue(sentItems, maxSends)
	return members, items
}

// takeUpdates takes updates from a queue while they fit into remainingBytes. It
// returns the entries to send and the updates that they stand for.
func (m *Machine) takeUpdates(q *updateQueue, remainingBytes int) (members []wire.Member, items []wire.Item, sent []*update) {
	for {
		u, list := q.peek()
		if u == nil {
			return members, items, sent
		}
		w, it, ok := m.currentState(u.key)
		neededBytes := memberBytes(w)
		if it.Kind != 0 {
			neededBytes = itemBytes(it)
		}
		if !ok || neededBytes > MaxPingFrameBytes/2 {
			// An item of more than half a frame spreads by state exchange only.
			*list = (*list)[1:]
			delete(q.pending, u.key)
			continue
		}
		if neededBytes > remainingBytes {
			return members, items, sent
		}
		*list = (*list)[1:]
		remainingBytes -= neededBytes
		if it.Kind != 0 {
			items = append(items, it)
		} else {
			members = append(members, w)
		}
		u.sendCount++
		sent = append(sent, u)
	}
}

// currentState returns the current member or item of an update, or false if it is
// no longer known.
func (m *Machine) currentState(k updateKey) (wire.Member, wire.Item, bool) {
	if k.vm == m.self.ID {
		return m.selfMember(), wire.Item{}, true
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
	return wire.Member{}, s.withRemainingTTL(m.lastTickAt), true
}

// withRemainingTTL returns the item with the part of its TTL that remains.
func (s *storedItem) withRemainingTTL(now time.Time) wire.Item {
	it := s.item
	if !s.expiresAt.IsZero() {
		it.TTL = max(time.Millisecond, s.expiresAt.Sub(now))
	}
	return it
}

// MergeItem applies an item that a peer sent in a message outside of this protocol.
func (m *Machine) MergeItem(now time.Time, it wire.Item) { m.applyItem(now, it) }

// PublishItem stores an item of this VM, queues it for gossip and returns it. It
// replaces every item known under the key. The sequence follows the clock, so that
// the items of a restarted VM replace those that it published before the restart,
// which it does not know.
func (m *Machine) PublishItem(now time.Time, kind wire.ItemKind, key string, payload []byte, ttl time.Duration) wire.Item {
	it := wire.Item{Kind: kind, Key: key, Origin: m.self.ID, Payload: payload, TTL: ttl}
	it.Sequence = uint64(now.UnixMilli())
	if old := m.items[itemKey{kind, key}]; old != nil {
		it.Sequence = max(it.Sequence, old.item.Sequence+1)
	}
	m.storeItem(now, it)
	return it
}

// applyItem stores an item of a peer if it outranks the known one.
func (m *Machine) applyItem(now time.Time, it wire.Item) {
	if it.Kind == 0 {
		return
	}
	old := m.items[itemKey{it.Kind, it.Key}]
	if old != nil && !outranks(it, old.item) {
		return
	}
	m.storeItem(now, it)
	m.changedItems[itemKey{it.Kind, it.Key}] = true
}

// outranks reports whether a replaces b; it is a total order. The payload decides
// between items that a VM published with the same sequence before and after a restart.
func outranks(a, b wire.Item) bool {
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	if a.Origin != b.Origin {
		return a.Origin > b.Origin
	}
	return bytes.Compare(a.Payload, b.Payload) > 0
}

// storeItem replaces the item of a key and queues it for gossip.
func (m *Machine) storeItem(now time.Time, it wire.Item) {
	k := itemKey{it.Kind, it.Key}
	s := &storedItem{item: it}
	if it.TTL > 0 {
		s.expiresAt = now.Add(it.TTL)
	}
	m.items[k] = s
	m.itemQueue.add(updateKey{item: k})
}

// expireItems removes the items whose TTL has passed.
func (m *Machine) expireItems(now time.Time) {
	for k, s := range m.items {
		if !s.expiresAt.IsZero() && !now.Before(s.expiresAt) {
			delete(m.items, k)
		}
	}
}

// TakeChangedItems returns the items that messages of peers changed since the last call.
func (m *Machine) TakeChangedItems() []wire.Item {
	if len(m.changedItems) == 0 {
		return nil
	}
	var list []wire.Item
	for k := range m.changedItems {
		if s := m.items[k]; s != nil {
			list = append(list, s.withRemainingTTL(m.lastTickAt))
		}
	}
	clear(m.changedItems)
	return list
}

// HasItem reports whether an item is known under the key and has not expired.
func (m *Machine) HasItem(now time.Time, kind wire.ItemKind, key string) bool {
	s := m.items[itemKey{kind, key}]
	return s != nil && (s.expiresAt.IsZero() || now.Before(s.expiresAt))
}

// DeleteItem removes an item that is no longer needed, such as the status of a replica
// that was removed from the configuration.
func (m *Machine) DeleteItem(kind wire.ItemKind, key string) { delete(m.items, itemKey{kind, key}) }
