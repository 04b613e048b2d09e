package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// syncEvery is the interval of state exchanges while they find no
	// difference, syncBusy while they do or while the VM has not joined.
	syncEvery = 10 * time.Second
	syncBusy  = 2 * time.Second
	// buckets is the number of parts that a state is compared in.
	buckets    = 256
	digestSize = 4
	// SyncChunk bounds the entries of one SyncReply in bytes, so that a
	// comparison costs at most about 4 KB/s in a running VM.
	SyncChunk = 8 << 10
	// joinChunk is the bound for the entries sent back to a peer. A bucket
	// can be larger on this side than on the other.
	joinChunk = 32 << 10
	// lostShare is one in how many exchanges goes to a VM that is dead here
	// or known from the platform only. It lets partitions merge.
	lostShare = 4
)

func bucketOf(s string) uint8 { return uint8(xxhash.Sum64String(s)) }

func addHash(digest []byte, bucket uint8, key string, parts ...uint64) {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(key)
	var b [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(b[:], p)
		_, _ = h.Write(b[:])
	}
	at := digest[int(bucket)*digestSize:]
	binary.BigEndian.PutUint32(at, binary.BigEndian.Uint32(at)+uint32(h.Sum64()))
}

// digest returns one hash for each bucket. Dead VMs are left out: peers
// forget them at different times. A suspect VM counts as alive.
func (m *Machine) digest() []byte {
	d := make([]byte, buckets*digestSize)
	add := func(v model.VM) {
		state := v.State
		if state == model.Suspect {
			state = model.Alive
		}
		addHash(d, bucketOf(string(v.ID)), string(v.ID), v.Incarnation, uint64(state))
	}
	add(m.self)
	for _, r := range m.records {
		if r.vm.State != model.Dead {
			add(r.vm)
		}
	}
	for k, s := range m.items {
		addHash(d, bucketOf(k.key), k.key, uint64(k.kind), s.item.Sequence, xxhash.Sum64String(string(s.item.Origin)), xxhash.Sum64(s.item.Payload))
	}
	return d
}

// startSync sends a digest to a random peer. A VM that has not joined asks
// several seeds at once.
func (m *Machine) startSync(now time.Time) []Envelope {
	m.nextSync = now.Add(syncEvery)
	targets := m.syncTargets()
	if !m.Joined() || m.live == 0 {
		m.nextSync = now.Add(syncBusy)
	}
	var out []Envelope
	for _, to := range targets {
		out = append(out, Envelope{To: to, Message: &wire.SyncRequest{From: m.member(), ConfigVersion: m.config, Digest: m.digest()}})
	}
	return out
}

func (m *Machine) syncTargets() []model.VM {
	lost := m.lost()
	live := m.ids(notDead)
	if len(lost) > 0 && (len(live) == 0 || m.rng.IntN(lostShare) == 0) {
		m.rng.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
		return lost[:min(len(lost), indirectPeers)]
	}
	if len(live) == 0 {
		return nil
	}
	return []model.VM{m.records[live[m.rng.IntN(len(live))]].vm}
}

// lost returns VMs that may be reachable although they are not live here.
func (m *Machine) lost() []model.VM {
	var list []model.VM
	for id, r := range m.records {
		if r.vm.State == model.Dead {
			if s, ok := m.seeds[id]; ok {
				list = append(list, s)
			} else {
				list = append(list, r.vm)
			}
		}
	}
	for id, v := range m.seeds {
		if m.records[id] == nil {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b model.VM) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// entries returns all entries by bucket.
func (m *Machine) entries() (members [buckets][]wire.Member, items [buckets][]wire.Item) {
	put := func(v model.VM) {
		b := bucketOf(string(v.ID))
		members[b] = append(members[b], wire.MemberOf(v))
	}
	put(m.self)
	for _, id := range sortedKeys(m.records) {
		put(m.records[id].vm)
	}
	for k, s := range m.items {
		b := bucketOf(k.key)
		items[b] = append(items[b], s.at(m.lastTick))
	}
	for _, list := range items {
		slices.SortFunc(list, func(a, b wire.Item) int {
			return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Kind, b.Kind))
		})
	}
	return members, items
}

// fitting cuts the entries of a bucket that alone exceeds a chunk.
func fitting(members []wire.Member, items []wire.Item) ([]wire.Member, []wire.Item) {
	for size(members, items) > joinChunk && len(items) > 0 {
		items = items[:len(items)-1]
	}
	for size(members, items) > joinChunk {
		members = members[:len(members)-1]
	}
	return members, items
}

func size(members []wire.Member, items []wire.Item) int {
	n := 0
	for _, w := range members {
		n += memberSize(w)
	}
	for _, it := range items {
		n += itemSize(it)
	}
	return n
}

func (m *Machine) receiveSyncRequest(now time.Time, from model.VMID, q *wire.SyncRequest) []Envelope {
	if !m.merge(now, from, q.From, q.Members, q.Items, exchanged) || len(q.Digest) != buckets*digestSize {
		return nil
	}
	reply := &wire.SyncReply{From: m.member(), ConfigVersion: m.config, Members: m.correction(q.From)}
	mine := m.digest()
	members, items := m.entries()
	start := m.rng.IntN(buckets)
	room := SyncChunk
	for i := range buckets {
		b := uint8(start + i)
		at := int(b) * digestSize
		if string(mine[at:at+digestSize]) == string(q.Digest[at:at+digestSize]) {
			continue
		}
		ms, its := fitting(members[b], items[b])
		n := size(ms, its)
		if n > room && len(reply.Buckets) > 0 {
			reply.More = true
			continue
		}
		room -= n
		reply.Buckets = append(reply.Buckets, b)
		reply.Members = append(reply.Members, ms...)
		reply.Items = append(reply.Items, its...)
	}
	return []Envelope{{To: q.From.VM(), Message: reply, Reply: true}}
}

// receiveSyncReply merges the peer's entries and sends back those in which
// this VM differs. A joining VM goes on at once until nothing differs.
func (m *Machine) receiveSyncReply(now time.Time, from model.VMID, p *wire.SyncReply) []Envelope {
	if !m.merge(now, from, p.From, p.Members, p.Items, exchanged) {
		return nil
	}
	if len(p.Buckets) > 0 {
		m.nextSync = now.Add(min(syncBusy, max(0, m.nextSync.Sub(now))))
	}
	joining := !m.joined
	m.joined = m.joined || !p.More
	back := &wire.SyncRequest{From: m.member(), ConfigVersion: m.config, Members: m.correction(p.From)}
	m.addDifferences(back, p)
	if joining && p.More {
		back.Digest = m.digest()
	}
	if len(back.Members)+len(back.Items)+len(back.Digest) == 0 {
		return nil
	}
	return []Envelope{{To: p.From.VM(), Message: back, Reply: true}}
}

// addDifferences adds this VM's entries in the peer's buckets that the peer
// did not send in the same form.
func (m *Machine) addDifferences(back *wire.SyncRequest, p *wire.SyncReply) {
	same := map[wire.Member]bool{}
	for _, w := range p.Members {
		same[w] = true
	}
	known := map[itemKey]wire.Item{}
	for _, it := range p.Items {
		known[itemKey{it.Kind, it.Key}] = it
	}
	members, items := m.entries()
	room := joinChunk
	for _, b := range p.Buckets {
		for _, w := range members[b] {
			if !same[w] && room >= memberSize(w) {
				back.Members = append(back.Members, w)
				room -= memberSize(w)
			}
		}
		for _, it := range items[b] {
			theirs, ok := known[itemKey{it.Kind, it.Key}]
			if (!ok || outranks(it, theirs)) && room >= itemSize(it) {
				back.Items = append(back.Items, it)
				room -= itemSize(it)
			}
		}
	}
}
