// Package connbudget decides which connections a process keeps when clients hold more
// memory or descriptors than the machine has for them: crowds of connections, heads of
// very many fields, bodies that stop short, and answers that nobody reads.
//
// Each port (a listener) has limits of its own, so that what comes in at one takes nothing
// from the others. If a port is short, connections are closed in the order of what they
// hold times how long they have made no progress. A request that is being served is never
// given up. An idle connection that has been served counts little, and none is closed while
// incomplete requests and unread answers take more than a half of the port.
package connbudget

import (
	"cmp"
	"slices"
	"time"
)

// Port is one listener of a process.
type Port uint8

// The ports of a VM.
const (
	// Callers is the listener for callers.
	Callers Port = iota
	// Ready is the listener for the load balancer's checks and the metrics.
	Ready
	// Peers is the listener for other VMs.
	Peers
	// Ports is the number of ports.
	Ports
)

// String returns the name of the port in logs and metrics.
func (d Port) String() string { return [Ports]string{"callers", "ready", "peers"}[d] }

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
	// rankingAge and rankedShare bound the work of a crowd: a ranking of all connections of
	// a port serves for a 32nd of them, for 10 ms. Within 100 ms heads of very many fields
	// grow to megabytes, and others were closed in their place.
	rankingAge  = 10 * time.Millisecond
	rankedShare = 32
	// leavingShare of a port's bytes may belong to connections that are closed and not yet
	// ended. Without a bound, a crowd of 3,000 that sent very many fields took 277 MB of 184:
	// on one core a closed connection's goroutine waits for its turn and holds its memory.
	leavingShare = 0.25
	// smallBytes is what a connection may hold without waiting for others to end. Ordinary
	// requests hold less; one that was accepted waited for seconds otherwise, because
	// net/http keeps a connection whose body was not read for 500 ms.
	smallBytes = 2 * ConnBytes
)

// Limits bound what the connections of a port hold together. 0 means no limit.
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
	// Wait is set if the connection should not go on while Draining: those that were told to
	// close still hold their memory, and it holds more than an ordinary request.
	Wait bool
	// Close are connections to close now. They are leaving until Close is called for them.
	Close []ID
}

type conn struct {
	port Port
	// leaving is set once the connection was told to close.
	leaving bool
	phase   Phase
	// since is the time of the last progress: the connection was opened, or a phase began.
	since time.Time
	// bytes is what it holds, unread the part of it that is left of its answers.
	bytes, unread int64
}

type port struct {
	limits Limits
	conns  int
	bytes  int64
	// leaving is what connections hold that were told to close and have not ended.
	leaving int64
	// ranked are the connections to close next, as of rankedAt.
	ranked   []candidate
	rankedAt time.Time
}

// Budget is what the clients of a process hold. It must not be used concurrently.
type Budget struct {
	ports  [Ports]port
	conns  map[ID]*conn
	lastID ID
}

// New returns a budget without connections.
func New(limits [Ports]Limits) *Budget {
	b := &Budget{conns: map[ID]*conn{}}
	b.SetLimits(limits)
	return b
}

// SetLimits changes the limits. They apply to what is asked for from then on.
func (b *Budget) SetLimits(limits [Ports]Limits) {
	for d, l := range limits {
		b.ports[d].limits = l
	}
}

// Held returns the connections of a port and what they hold.
func (b *Budget) Held(d Port) (conns int, bytes int64) {
	return b.ports[d].conns, b.ports[d].bytes
}

// Open decides on a new connection and returns its ID.
func (b *Budget) Open(now time.Time, d Port) (ID, Verdict) {
	verdict := b.makeRoom(now, d, 1, ConnBytes, 0)
	if !verdict.Granted {
		return 0, verdict
	}
	b.lastID++
	b.conns[b.lastID] = &conn{port: d, phase: Receiving, since: now, bytes: ConnBytes}
	b.ports[d].conns++
	b.ports[d].bytes += ConnBytes
	return b.lastID, verdict
}

// Hold decides whether a connection may hold more bytes of a request that comes in or of an
// answer. A connection that is closed gets no more.
func (b *Budget) Hold(now time.Time, id ID, bytes int64) Verdict {
	c := b.conns[id]
	if c == nil || c.leaving {
		return Verdict{}
	}
	verdict := b.makeRoom(now, c.port, 0, bytes, id)
	if verdict.Granted {
		if c.phase == Idle {
			c.phase, c.since = Receiving, now
		}
		c.bytes += bytes
		b.ports[c.port].bytes += bytes
		verdict.Wait = c.bytes > smallBytes && b.Draining(c.port)
	}
	return verdict
}

// Release gives back bytes that Hold has granted.
func (b *Budget) Release(id ID, bytes int64) {
	c := b.conns[id]
	if c == nil {
		return
	}
	c.bytes -= bytes
	if c.leaving {
		b.ports[c.port].leaving -= bytes
	} else {
		b.ports[c.port].bytes -= bytes
	}
}

// ReleaseAllBut gives back all bytes but so many and the unread ones.
func (b *Budget) ReleaseAllBut(id ID, bytes int64) {
	if c := b.conns[id]; c != nil && c.bytes > bytes+c.unread {
		b.Release(id, c.bytes-bytes-c.unread)
	}
}

// SetUnread records how many bytes of its answers a connection has not read. They exist
// already: the connection is closed itself if it is the next one to be.
func (b *Budget) SetUnread(now time.Time, id ID, unread int64) Verdict {
	c := b.conns[id]
	if c == nil || c.leaving {
		return Verdict{}
	}
	more := unread - c.unread
	if more <= 0 {
		b.Release(id, -more)
		c.unread = unread
		return Verdict{Granted: true}
	}
	verdict := b.Hold(now, id, more)
	if verdict.Granted {
		c.unread = unread
	} else {
		b.evict(id)
		verdict.Close = append(verdict.Close, id)
	}
	return verdict
}

// SetPhase records what a connection does from now on, and returns what it did before. An
// idle connection holds no request any more.
func (b *Budget) SetPhase(now time.Time, id ID, p Phase) Phase {
	c := b.conns[id]
	if c == nil || c.leaving || c.phase == p {
		return p
	}
	before := c.phase
	c.phase, c.since = p, now
	if p == Idle {
		b.ReleaseAllBut(id, ConnBytes)
	}
	return before
}

// Close records that a connection has ended.
func (b *Budget) Close(id ID) {
	c := b.conns[id]
	if c == nil {
		return
	}
	delete(b.conns, id)
	if c.leaving {
		b.ports[c.port].leaving -= c.bytes
		return
	}
	b.ports[c.port].conns--
	b.ports[c.port].bytes -= c.bytes
}

// evict marks a connection as told to close.
func (b *Budget) evict(id ID) {
	c := b.conns[id]
	c.leaving = true
	port := &b.ports[c.port]
	port.conns--
	port.bytes -= c.bytes
	port.leaving += c.bytes
}

// Draining reports whether connections that were told to close still hold so much that no
// other one should take more until some have ended.
func (b *Budget) Draining(d Port) bool {
	port := &b.ports[d]
	return port.limits.Bytes > 0 && float64(port.leaving) > leavingShare*float64(port.limits.Bytes)
}

// CloseStalled returns the connections to close because one write of their answer has taken
// longer than a time.
func (b *Budget) CloseStalled(now time.Time, longest time.Duration) []ID {
	var stalled []ID
	for id, c := range b.conns {
		if !c.leaving && c.phase == Answering && now.Sub(c.since) > longest {
			stalled = append(stalled, id)
			b.evict(id)
		}
	}
	return stalled
}

// makeRoom closes connections of a port until it has room for so much more. The asker, 0
// for a connection that opens, is refused where it is the next to be closed.
func (b *Budget) makeRoom(now time.Time, d Port, conns int, bytes int64, asker ID) Verdict {
	port, verdict, own := &b.ports[d], Verdict{}, bytes
	if c := b.conns[asker]; c != nil {
		own += c.bytes
	}
	if port.limits.Bytes > 0 && own > port.limits.Bytes {
		return verdict // no room however many others are closed
	}
	for {
		moreConns := port.limits.Conns > 0 && port.conns+conns > port.limits.Conns
		moreBytes := port.limits.Bytes > 0 && port.bytes+bytes > port.limits.Bytes
		if bytes <= 0 || !moreConns && !moreBytes {
			verdict.Granted = true
			return verdict
		}
		victim := b.heaviest(now, d)
		if victim == 0 || victim == asker {
			return verdict
		}
		b.evict(victim)
		verdict.Close = append(verdict.Close, victim)
	}
}

// candidate is a connection that may be closed, as it was when the candidates were ranked.
type candidate struct {
	id     ID
	phase  Phase
	since  time.Time
	weight float64
}

// heaviest returns the connection to close first, 0 if there is none.
func (b *Budget) heaviest(now time.Time, d Port) ID {
	port := &b.ports[d]
	if now.Sub(port.rankedAt) > rankingAge {
		port.ranked = nil
	}
	for try := 0; ; try++ {
		for len(port.ranked) > 0 {
			next := port.ranked[0]
			port.ranked = port.ranked[1:]
			if c := b.conns[next.id]; c != nil && !c.leaving && c.phase == next.phase && c.since.Equal(next.since) {
				return next.id
			}
		}
		if try > 0 {
			return 0
		}
		port.ranked, port.rankedAt = b.rank(now, d), now
	}
}

// rank returns the connections of a port to close first, the first one foremost. Idle
// connections and incomplete requests each have a half of the port for themselves: while
// one kind has more, only that kind is closed.
func (b *Budget) rank(now time.Time, d Port) []candidate {
	var idle, busy []candidate
	var idleBytes, busyBytes int64
	for id, c := range b.conns {
		if c.port != d || c.leaving || c.phase == Serving {
			continue
		}
		next := candidate{id, c.phase, c.since, c.weight(now)}
		if c.phase == Idle {
			idle, idleBytes = append(idle, next), idleBytes+c.bytes
		} else {
			busy, busyBytes = append(busy, next), busyBytes+c.bytes
		}
	}
	limits := b.ports[d].limits
	exceedsHalf := func(conns int, bytes int64) bool {
		return limits.Conns > 0 && 2*conns > limits.Conns || limits.Bytes > 0 && 2*bytes > limits.Bytes
	}
	ranked := append(idle, busy...)
	switch {
	case exceedsHalf(len(busy), busyBytes):
		ranked = busy
	case exceedsHalf(len(idle), idleBytes):
		ranked = idle
	}
	slices.SortFunc(ranked, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(x.id, y.id))
	})
	return ranked[:min(len(ranked), max(1, len(ranked)/rankedShare))]
}

// weight is what a connection holds times how long it has made no progress.
func (c *conn) weight(now time.Time) float64 {
	weight := float64(c.bytes) * now.Sub(c.since).Seconds()
	if c.phase == Idle {
		return weight / idleWeight
	}
	return weight
}
