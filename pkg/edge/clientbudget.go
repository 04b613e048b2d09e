package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/nutmeghitch/nutmeghitch/pkg/connbudget"
	"github.com/nutmeghitch/nutmeghitch/pkg/netconn"
	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
)

const (
	// clientMemoryShare of the VM's memory is for what clients hold: connections, heads,
	// bodies, and answers that are not read. With bodyShare and bufferedShare it leaves a
	// quarter of the memory limit to the rest of the process.
	clientMemoryShare = 0.2
	// unreadAnswerTimeout closes a connection to which one write takes longer, or that takes
	// no data for so long, also after the VM has closed it. The longest write is an answer of
	// 256 KB, for which it allows 4 KB a second.
	unreadAnswerTimeout = time.Minute
	// sendBufferBytes bounds the part of an answer that the system holds for a connection;
	// by itself it grows to 4 MB. It carries 16 MB a second at a round trip of 8 ms.
	sendBufferBytes = 128 << 10
	// minPortConns is the least limit of the connections of a port: a balancer keeps a few,
	// and a few VMs connect at a time.
	minPortConns = 16
)

// portShares divide the memory for clients, and the VM's descriptors, between the ports.
// The rest of the descriptors is for connections to replicas and the store, and of other
// VMs. Those count only until their first message: 118 VMs keep four connections each for
// relays.
var portShares = [connbudget.Ports]struct{ memory, descriptors float64 }{
	connbudget.Callers: {0.7, 0.45},
	connbudget.Ready:   {0.1, 0.05},
	connbudget.Peers:   {0.2, 0.05},
}

// clientLimits returns the limits of the ports. Settings without memory or descriptors set
// none.
func clientLimits(s Settings) [connbudget.Ports]connbudget.Limits {
	var limits [connbudget.Ports]connbudget.Limits
	for d, share := range portShares {
		limits[d].Bytes = int64(share.memory * clientMemoryShare * float64(s.MemoryBytes))
		if s.Descriptors > 0 {
			limits[d].Conns = max(minPortConns, int(share.descriptors*float64(s.Descriptors)))
		}
	}
	return limits
}

// clientBudget applies a connbudget.Budget to the connections that the VM accepts.
type clientBudget struct {
	log     logrus.FieldLogger
	metrics [connbudget.Ports]portMetrics

	mu     sync.Mutex
	budget *connbudget.Budget
	conns  map[connbudget.ID]*clientConn
	// ended is signalled when connections have ended or were told to.
	ended *sync.Cond
	// closed and refused count since the last report.
	closed, refused [connbudget.Ports]int64
}

type portMetrics struct {
	closed, refused tally.Counter
	conns, bytes    tally.Gauge
}

func newClientBudget(s Settings, log logrus.FieldLogger, scope tally.Scope) *clientBudget {
	b := &clientBudget{log: log, budget: connbudget.New(clientLimits(s)), conns: map[connbudget.ID]*clientConn{}}
	b.ended = sync.NewCond(&b.mu)
	for d := range b.metrics {
		tagged := scope.SubScope("clients").Tagged(map[string]string{"port": connbudget.Port(d).String()})
		b.metrics[d] = portMetrics{
			closed: tagged.Counter("closed"), refused: tagged.Counter("refused"),
			conns: tagged.Gauge("connections"), bytes: tagged.Gauge("held_bytes"),
		}
	}
	return b
}

// setLimits applies changed settings.
func (b *clientBudget) setLimits(s Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.SetLimits(clientLimits(s))
}

// run closes connections whose answers are not read, and reports what the ports hold,
// until ctx ends.
func (b *clientBudget) run(ctx context.Context) {
	for wait.Sleep(ctx, expiryCheckInterval) {
		b.mu.Lock()
		victims := b.remove(b.budget.CloseStalled(time.Now(), unreadAnswerTimeout))
		b.mu.Unlock()
		closeClients(victims)
		b.countUnread()
		b.report()
	}
}

// countUnread counts the answers that the system holds for clients which do not read them.
func (b *clientBudget) countUnread() {
	b.mu.Lock()
	written := make([]*clientConn, 0, len(b.conns))
	for _, c := range b.conns {
		if c.written.Load() {
			written = append(written, c)
		}
	}
	b.mu.Unlock()
	for _, c := range written {
		c.written.Store(false)
		unread := netconn.UnreadBytes(c)
		if unread > 0 {
			c.written.Store(true) // until nothing is left
		}
		b.mu.Lock()
		victims := b.remove(b.budget.SetUnread(time.Now(), c.id, int64(unread)).Close)
		b.mu.Unlock()
		closeClients(victims)
	}
}

// report updates the metrics, and writes a line for each port at which connections were
// closed or refused since the last report.
func (b *clientBudget) report() {
	for d := range connbudget.Ports {
		b.mu.Lock()
		conns, bytes := b.budget.Held(d)
		closed, refused := b.closed[d], b.refused[d]
		b.closed[d], b.refused[d] = 0, 0
		b.mu.Unlock()
		m := b.metrics[d]
		m.conns.Update(float64(conns))
		m.bytes.Update(float64(bytes))
		if closed+refused > 0 {
			m.closed.Inc(closed)
			m.refused.Inc(refused)
			b.log.WithFields(logrus.Fields{"port": d.String(), "closed": closed, "refused": refused, "connections": conns, "held_bytes": bytes}).Warn("clients hold more than their share: connections closed")
		}
	}
}

// remove takes connections that are to be closed out of the table and returns them. b.mu
// must be held.
func (b *clientBudget) remove(ids []connbudget.ID) []*clientConn {
	if len(ids) == 0 {
		return nil
	}
	b.ended.Broadcast() // one of them may wait in awaitDrained
	victims := make([]*clientConn, 0, len(ids))
	for _, id := range ids {
		if c := b.conns[id]; c != nil {
			delete(b.conns, id)
			b.closed[c.port]++
			victims = append(victims, c)
		}
	}
	return victims
}

// forget takes a connection that has ended, or does not count any more, out of the budget.
// b.mu must be held.
func (b *clientBudget) forget(c *clientConn) {
	b.budget.Close(c.id)
	delete(b.conns, c.id)
	b.ended.Broadcast()
}

// apply carries out a verdict and reports whether the connection that asked got what it
// asked for. b.mu must be held, and is released.
func (b *clientBudget) apply(verdict connbudget.Verdict, d connbudget.Port) bool {
	victims := b.remove(verdict.Close)
	if !verdict.Granted {
		b.refused[d]++
	}
	b.mu.Unlock()
	closeClients(victims)
	return verdict.Granted
}

// awaitDrained waits until few of the connections that were told to close have not ended,
// and reports whether c is still counted. Their goroutines need the processor for that.
// b.mu must be held.
func (b *clientBudget) awaitDrained(c *clientConn) bool {
	for b.budget.Draining(c.port) && b.conns[c.id] == c {
		b.ended.Wait()
	}
	return b.conns[c.id] == c
}

func closeClients(victims []*clientConn) {
	for _, c := range victims {
		if c.answering.Load() || c.written.Load() {
			// What is not read must not stay in the system's buffer, and an answer that is
			// cut must not look complete.
			_ = c.SetLinger(0) // fails only on a connection that has ended
		}
		_ = c.TCPConn.Close() // the server may have closed it already
	}
}

// clientListener accepts connections within the budget.
type clientListener struct {
	net.Listener
	budget *clientBudget
	port   connbudget.Port
}

// listener returns l bounded by the budget. Without a budget it is l itself.
func (b *clientBudget) listener(d connbudget.Port, l net.Listener) net.Listener {
	if b == nil {
		return l
	}
	return &clientListener{Listener: l, budget: b, port: d}
}

// Accept implements net.Listener.
func (l *clientListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil // only sockets have the buffers and descriptors to bound
		}
		if client := l.budget.open(l.port, tcp); client != nil {
			return client, nil
		}
	}
}

// open returns the connection counted against the budget, or closes it and returns nil if
// the budget has no place.
func (b *clientBudget) open(d connbudget.Port, tcp *net.TCPConn) *clientConn {
	c := &clientConn{TCPConn: tcp, budget: b, port: d}
	c.head.begin()
	b.mu.Lock()
	id, verdict := b.budget.Open(time.Now(), d)
	if verdict.Granted {
		c.id = id
		b.conns[id] = c
	}
	if !b.apply(verdict, d) {
		if d != connbudget.Peers {
			c.refuse()
		}
		_ = tcp.Close() // nothing was read from it
		return nil
	}
	if d != connbudget.Peers {
		// Both fail only on a connection that has ended.
		_, _ = tcp.SetWriteBuffer(sendBufferBytes), netconn.SetUserTimeout(tcp, unreadAnswerTimeout)
	}
	return c
}

// connStateChanged is the ConnState hook of an HTTP server whose listener is bounded.
func connStateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive: // the head of a request has been read
		c.headRead()
	case http.StateIdle:
		c.becomeIdle()
	}
}
