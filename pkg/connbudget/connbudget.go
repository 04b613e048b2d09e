// Package connbudget decides which connections a process keeps when clients hold more
// memory or descriptors than the machine has for them: crowds of connections, heads of
// very many fields, bodies that stop short, and answers that nobody reads.
//
// Each door (a listener) has limits of its own, so that what comes in at one takes nothing
// from the others. If a door is short, connections are closed in the order of what they
// hold times how long they have made no progress. A request that is being served is never
// given up, and an idle connection that has been served counts little.
package connbudget

import (
	"cmp"
	"time"
)

// Door is one listener of a process.
type Door uint8

// The doors of a VM.
const (
	// Callers is the listener for callers.
	Callers Door = iota
	// Ready is the listener for the load balancer's checks and the metrics.
	Ready
	// Peers is the listener for other VMs.
	Peers
	// Doors is the number of doors.
	Doors
)

// String returns the name of the door in logs and metrics.
func (d Door) String() string { return [Doors]string{"callers", "ready", "peers"}[d] }

const (
	// ConnBytes is what an open connection takes at least: two buffers of 4 KB of net/http,
	// its structures and the stack of its goroutine. 600 connections of slow senders took
	// 18 KB each with what the collector had not freed.
	ConnBytes = 16 << 10
	// FieldBytes is what a field of a head takes in memory beside its bytes. 240 clients
	// with 3.7 million short fields took 72 to 98 bytes for each; maps and slices that grow
	// hold up to twice as much for a moment.
	FieldBytes = 200
	// idleWeight divides the weight of an idle connection that has been served. Ordinary
	// callers keep connections idle for up to 12 s (four fifths of 15 s), so that one weighs
	// no more than an equally large request that has been incomplete for 0.4 s.
	idleWeight = 32
)

// Limits bound what the connections of a door hold together. 0 means no limit.
type Limits struct {
	Conns int
	Bytes int64
}

// ID names an open connection.
type ID uint64

// Phase is what a connection does.
type Phase uint8

// The phases of a connection.
const (
	// Receiving: a request is not complete, or the first one has not begun.
	Receiving Phase = iota
	// Serving: a complete request is being served.
	Serving
	// Answering: an answer is being written.
	Answering
	// Idle: an answer was written, and no byte of another request has come.
	Idle
)

// Verdict is the decision on a connection that opens or holds more.
type Verdict struct {
	// Granted is false if the connection itself is to be refused. It holds then what it
	// held before.
	Granted bool
	// Close are connections to close now. They do not count any more.
	Close []ID
}

type conn struct {
	door  Door
	phase Phase
	// since is the time of the last progress: the connection was opened, or a phase began.
	since time.Time
	bytes int64
}

type door struct {
	limits Limits
	conns  int
	bytes  int64
}

// Budget is what the clients of a process hold. It must not be used concurrently.
type Budget struct {
	doors  [Doors]door
	conns  map[ID]*conn
	lastID ID
}

// New returns a budget without connections.
func New(limits [Doors]Limits) *Budget {
	b := &Budget{conns: map[ID]*conn{}}
	b.SetLimits(limits)
	return b
}

// SetLimits changes the limits. They apply to what is asked for from then on.
func (b *Budget) SetLimits(limits [Doors]Limits) {
	for d, l := range limits {
		b.doors[d].limits = l
	}
}

// Held returns the connections of a door and what they hold.
func (b *Budget) Held(d Door) (conns int, bytes int64) {
	return b.doors[d].conns, b.doors[d].bytes
}

// Open decides on a new connection and returns its ID.
func (b *Budget) Open(now time.Time, d Door) (ID, Verdict) {
	verdict := b.makeRoom(now, d, 1, ConnBytes, 0)
	if !verdict.Granted {
		return 0, verdict
	}
	b.lastID++
	b.conns[b.lastID] = &conn{door: d, phase: Receiving, since: now, bytes: ConnBytes}
	b.doors[d].conns++
	b.doors[d].bytes += ConnBytes
	return b.lastID, verdict
}

// Hold decides whether a connection may hold more bytes of a request that comes in or of an
// answer. A connection that is closed gets no more.
func (b *Budget) Hold(now time.Time, id ID, bytes int64) Verdict {
	c := b.conns[id]
	if c == nil {
		return Verdict{}
	}
	verdict := b.makeRoom(now, c.door, 0, bytes, id)
	if verdict.Granted {
		if c.phase == Idle {
			c.phase, c.since = Receiving, now
		}
		c.bytes += bytes
		b.doors[c.door].bytes += bytes
	}
	return verdict
}

// Release gives back bytes that Hold has granted.
func (b *Budget) Release(id ID, bytes int64) {
	if c := b.conns[id]; c != nil {
		c.bytes -= bytes
		b.doors[c.door].bytes -= bytes
	}
}

// SetPhase records what a connection does from now on, and returns what it did before. An
// idle connection holds no request any more.
func (b *Budget) SetPhase(now time.Time, id ID, p Phase) Phase {
	c := b.conns[id]
	if c == nil || c.phase == p {
		return p
	}
	before := c.phase
	c.phase, c.since = p, now
	if p == Idle {
		b.Release(id, c.bytes-ConnBytes)
	}
	return before
}

// Close records that a connection has ended.
func (b *Budget) Close(id ID) {
	if c := b.conns[id]; c != nil {
		delete(b.conns, id)
		b.doors[c.door].conns--
		b.doors[c.door].bytes -= c.bytes
	}
}

// Stalled returns the connections whose answer has been written for longer than a time
// without an end.
func (b *Budget) Stalled(now time.Time, longest time.Duration) []ID {
	var stalled []ID
	for id, c := range b.conns {
		if c.phase == Answering && now.Sub(c.since) > longest {
			stalled = append(stalled, id)
		}
	}
	return stalled
}

// makeRoom closes connections of a door until it has room for so much more. The asker, 0
// for a connection that opens, is refused where it is the next to be closed.
func (b *Budget) makeRoom(now time.Time, d Door, conns int, bytes int64, asker ID) Verdict {
	door, verdict, own := &b.doors[d], Verdict{}, bytes
	if c := b.conns[asker]; c != nil {
		own += c.bytes
	}
	if door.limits.Bytes > 0 && own > door.limits.Bytes {
		return verdict // no room however many others are closed
	}
	for {
		moreConns := door.limits.Conns > 0 && door.conns+conns > door.limits.Conns
		moreBytes := door.limits.Bytes > 0 && door.bytes+bytes > door.limits.Bytes
		if bytes <= 0 || !moreConns && !moreBytes {
			verdict.Granted = true
			return verdict
		}
		victim := b.heaviest(now, d)
		if victim == 0 || victim == asker {
			return verdict
		}
		b.Close(victim)
		verdict.Close = append(verdict.Close, victim)
	}
}

// heaviest returns the connection to close first, 0 if there is none.
func (b *Budget) heaviest(now time.Time, d Door) ID {
	var heaviest ID
	var most float64
	for id, c := range b.conns {
		if c.door != d || c.phase == Serving {
			continue
		}
		weight := c.weight(now)
		if heaviest == 0 || cmp.Or(cmp.Compare(weight, most), cmp.Compare(heaviest, id)) > 0 {
			heaviest, most = id, weight
		}
	}
	return heaviest
}

// weight is what a connection holds times how long it has made no progress.
func (c *conn) weight(now time.Time) float64 {
	weight := float64(c.bytes) * now.Sub(c.since).Seconds()
	if c.phase == Idle {
		return weight / idleWeight
	}
	return weight
}
