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
	// syncInterval is the interval of state exchanges while they find no difference.
	// busySyncInterval applies while they do and while this VM has not joined.
	syncInterval     = 10 * time.Second
	busySyncInterval = 2 * time.Second
	// bucketCount is the number of buckets in which two states are compared, and
	// bucketDigestBytes is the size of the hash of one bucket.
	bucketCount       = 256
	bucketDigestBytes = 4
	// MaxSyncReplyBytes limits the size of the entries in one SyncReply, so that state
	// exchanges cost a running VM at most about 4 KB/s. A single bucket may exceed it.
	MaxSyncReplyBytes = 8 << 10
	// maxSyncEntriesBytes limits the size of the entries of one bucket in a SyncReply,
	// and of all entries that the answer to a SyncReply carries. It exceeds
	// MaxSyncReplyBytes because a bucket can be larger here than at the peer.
	maxSyncEntriesBytes = 32 << 10
	// reconnectOneIn is the average number of exchanges of which one goes to VMs that
	// are dead here or known from the platform only. This lets the two sides of a
	// healed network partition merge.
	reconnectOneIn = 4
)

// bucketOf returns the bucket of the VM or item with the given key.
func bucketOf(key string) uint8 { return uint8(xxhash.Sum64String(key)) }

// addEntryHash adds the hash of one entry to that of its bucket. The sum does not depend
// on the order of the entries.
func addEntryHash(digest []byte, bucket uint8, key string, parts ...uint64) {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(key)
	var b [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(b[:], p)
		_, _ = h.Write(b[:])
	}
	at := digest[int(bucket)*bucketDigestBytes:]
	binary.BigEndian.PutUint32(at, binary.BigEndian.Uint32(at)+uint32(h.Sum64()))
}

// digest returns one hash per bucket. Dead VMs are left out, because peers remove them
// at different times. A suspect VM counts as alive.
func (m *Machine) digest() []byte {
	d := make([]byte, bucketCount*bucketDigestBytes)
	add := func(v model.VM) {
		state := v.State
		if state == model.Suspect {
			state = model.Alive
		}
		addEntryHash(d, bucketOf(string(v.ID)), string(v.ID), v.Incarnation, uint64(state))
	}
	add(m.self)
	for _, r := range m.records {
		if r.vm.State != model.Dead {
			add(r.vm)
		}
	}
	for k, s := range m.items {
		addEntryHash(d, bucketOf(k.key), k.key, uint64(k.kind), s.item.Sequence, xxhash.Sum64String(string(s.item.Origin)), xxhash.Sum64(s.item.Payload))
	}
	return d
}

// startSync returns a digest for a random peer. A VM that knows no live peer sends it
// to several seeds at once.
func (m *Machine) startSync(now time.Time) []Envelope {
	m.nextSyncAt = now.Add(syncInterval)
	targets := m.syncTargets()
	if !m.Joined() || m.liveCount == 0 {
		m.nextSyncAt = now.Add(busySyncInterval)
	}
	var out []Envelope
	for _, to := range targets {
		out = append(out, Envelope{To: to, Message: &wire.SyncRequest{From: m.selfMember(), ConfigVersion: m.configVersion, Digest: m.digest()}})
	}
	return out
}

// syncTargets returns the VMs with which the next state exchange is tried.
func (m *Machine) syncTargets() []model.VM {
	candidates := m.reconnectCandidates()
	live := m.sortedIDs(notDead)
	if len(candidates) > 0 && (len(live) == 0 || m.rng.IntN(reconnectOneIn) == 0) {
		m.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		return candidates[:min(len(candidates), requestFanout)]
	}
	if len(live) == 0 {
		return nil
	}
	return []model.VM{m.records[live[m.rng.IntN(len(live))]].vm}
}

// reconnectCandidates returns VMs that are dead or unknown here but may be reachable.
func (m *Machine) reconnectCandidates() []model.VM {
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

// entriesByBucket returns all members and items, grouped by bucket.
func (m *Machine) entriesByBucket() (members [bucketCount][]wire.Member, items [bucketCount][]wire.Item) {
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
		items[b] = append(items[b], s.withRemainingTTL(m.lastTickAt))
	}
	for _, list := range items {
		slices.SortFunc(list, func(a, b wire.Item) int {
			return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Kind, b.Kind))
		})
	}
	return members, items
}

// truncateBucket drops entries of a bucket that exceeds maxSyncEntriesBytes, items first.
func truncateBucket(members []wire.Member, items []wire.Item) ([]wire.Member, []wire.Item) {
	for entriesBytes(members, items) > maxSyncEntriesBytes && len(items) > 0 {
		items = items[:len(items)-1]
	}
	for entriesBytes(members, items) > maxSyncEntriesBytes {
		members = members[:len(members)-1]
	}
	return members, items
}

// entriesBytes returns an upper bound for the encoded size of the entries.
func entriesBytes(members []wire.Member, items []wire.Item) int {
	total := 0
	for _, w := range members {
		total += memberBytes(w)
	}
	for _, it := range items {
		total += itemBytes(it)
	}
	return total
}

// receiveSyncRequest merges the peer's entries and returns the entries of the buckets
// whose hash differs. It starts at a random bucket, so that each gets its turn when
// they do not all fit.
func (m *Machine) receiveSyncRequest(now time.Time, from model.VMID, q *wire.SyncRequest) []Envelope {
	if !m.applyMessage(now, from, q.From, q.Members, q.Items, fromExchange) || len(q.Digest) != bucketCount*bucketDigestBytes {
		return nil
	}
	reply := &wire.SyncReply{From: m.selfMember(), ConfigVersion: m.configVersion, Members: m.correction(q.From)}
	ownDigest := m.digest()
	members, items := m.entriesByBucket()
	start := m.rng.IntN(bucketCount)
	remainingBytes := MaxSyncReplyBytes
	for i := range bucketCount {
		b := uint8(start + i)
		at := int(b) * bucketDigestBytes
		if string(ownDigest[at:at+bucketDigestBytes]) == string(q.Digest[at:at+bucketDigestBytes]) {
			continue
		}
		bucketMembers, bucketItems := truncateBucket(members[b], items[b])
		bucketBytes := entriesBytes(bucketMembers, bucketItems)
		if bucketBytes > remainingBytes && len(reply.Buckets) > 0 {
			reply.More = true
			continue
		}
		remainingBytes -= bucketBytes
		reply.Buckets = append(reply.Buckets, b)
		reply.Members = append(reply.Members, bucketMembers...)
		reply.Items = append(reply.Items, bucketItems...)
	}
	return []Envelope{{To: q.From.VM(), Message: reply, Reply: true}}
}

// receiveSyncReply merges the peer's entries and returns those that this VM has in
// another form. A joining VM continues the exchange at once until it has all entries.
func (m *Machine) receiveSyncReply(now time.Time, from model.VMID, p *wire.SyncReply) []Envelope {
	if !m.applyMessage(now, from, p.From, p.Members, p.Items, fromExchange) {
		return nil
	}
	if len(p.Buckets) > 0 {
		m.nextSyncAt = now.Add(min(busySyncInterval, max(0, m.nextSyncAt.Sub(now))))
	}
	joining := !m.joined
	m.joined = m.joined || !p.More
	request := &wire.SyncRequest{From: m.selfMember(), ConfigVersion: m.configVersion, Members: m.correction(p.From)}
	m.addDifferences(request, p)
	if joining && p.More {
		request.Digest = m.digest()
	}
	if len(request.Members)+len(request.Items)+len(request.Digest) == 0 {
		return nil
	}
	return []Envelope{{To: p.From.VM(), Message: request, Reply: true}}
}

// addDifferences adds this VM's entries of the buckets in p that the peer did not send
// in the same form, and of the items only those that outrank the peer's.
func (m *Machine) addDifferences(request *wire.SyncRequest, p *wire.SyncReply) {
	unchanged := map[wire.Member]bool{}
	for _, w := range p.Members {
		unchanged[w] = true
	}
	peerItems := map[itemKey]wire.Item{}
	for _, it := range p.Items {
		peerItems[itemKey{it.Kind, it.Key}] = it
	}
	members, items := m.entriesByBucket()
	remainingBytes := maxSyncEntriesBytes
	for _, b := range p.Buckets {
		for _, w := range members[b] {
			if !unchanged[w] && remainingBytes >= memberBytes(w) {
				request.Members = append(request.Members, w)
				remainingBytes -= memberBytes(w)
			}
		}
		for _, it := range items[b] {
			theirs, ok := peerItems[itemKey{it.Kind, it.Key}]
			if (!ok || outranks(it, theirs)) && remainingBytes >= itemBytes(it) {
				request.Items = append(request.Items, it)
				remainingBytes -= itemBytes(it)
			}
		}
	}
}
