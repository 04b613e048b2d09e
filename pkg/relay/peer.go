// Package relay carries parts of fan-out queries between VMs: a VM asks another one
// to query the replicas of that one's failure domain, and gets their merged answers.
package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/netconn"
	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// maxIdleConns is the number of connections to one VM that are kept. More are
	// opened while more queries run at the same time.
	maxIdleConns = 4
	// maxIdleTime is how long a connection is kept unused. The other VM keeps it
	// longer, see serverIdleTime.
	maxIdleTime = 20 * time.Second
	// dialTimeout bounds a dial, which takes a millisecond: a query waits for it.
	dialTimeout = 60 * time.Millisecond
	// minProbePause and maxProbePause bound the growing pause between probes of a VM
	// that has failed, or was silent. It gets no request before it answers one: each
	// would cost a query the time until its hedges.
	minProbePause = 200 * time.Millisecond
	maxProbePause = 2 * time.Second
	// probeTimeout bounds a probe, which takes a few milliseconds.
	probeTimeout = 250 * time.Millisecond
	// MaxRequestBytes bounds the head and body of a request that is relayed.
	MaxRequestBytes = 32 << 10
	// maxFrameBytes bounds a message: a request, or the records and receipts of all
	// services of a query.
	maxFrameBytes = 1 << 20
)

// DialFunc opens a connection to another VM.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Peer is another VM to which requests are relayed. Its methods may be called
// concurrently.
type Peer struct {
	// VM and Domain name the other VM and its failure domain.
	VM, Domain string
	addr       string
	dial       DialFunc

	// ctx ends with Close.
	ctx   context.Context
	close context.CancelFunc

	mu   sync.Mutex
	idle []*peerConn
	// down is set while the peer is probed.
	down bool
}

// peerConn is a connection to a Peer, which carries one request at a time.
type peerConn struct {
	net.Conn
	reader   *wire.Reader
	lastUsed time.Time
}

// NewPeer returns a peer that listens at addr. It does not connect yet.
func NewPeer(vm, domain, addr string, dial DialFunc) *Peer {
	ctx, cancel := context.WithCancel(context.Background())
	return &Peer{VM: vm, Domain: domain, addr: addr, dial: dial, ctx: ctx, close: cancel}
}

// Usable reports whether requests may be sent to the peer now.
func (p *Peer) Usable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.down && p.ctx.Err() == nil
}

// Failed records that the peer has failed, or has not answered in time. It is used
// again once it answers a probe.
func (p *Peer) Failed() { p.probeFrom(minProbePause) }

// Suspect makes the peer answer a probe before it is used again, because another VM
// of its failure domain has failed.
func (p *Peer) Suspect() { p.probeFrom(0) }

// probeFrom probes the peer after a pause until it answers, unless it is probed
// already.
func (p *Peer) probeFrom(pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down || p.ctx.Err() != nil {
		return
	}
	p.down = true
	p.closeIdleLocked() // they lead to the same process, and may be broken
	go p.probe(pause)
}

func (p *Peer) probe(pause time.Duration) {
	for wait.Sleep(p.ctx, pause) {
		ctx, cancel := context.WithTimeout(p.ctx, probeTimeout)
		refusal := p.Do(ctx, &wire.RelayRequest{}, func(*wire.RelayReply) {})
		cancel()
		if refusal == nil {
			p.mu.Lock()
			p.down = false
			p.mu.Unlock()
			return
		}
		pause = min(max(minProbePause, 2*pause), maxProbePause)
	}
}

// Close closes the idle connections; those in use are closed when their requests
// end.
func (p *Peer) Close() {
	p.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleLocked()
}

// closeIdleLocked closes the idle connections. p.mu is held.
func (p *Peer) closeIdleLocked() {
	for _, c := range p.idle {
		_ = c.Close() // nothing is sent on it any more
	}
	p.idle = nil
}

// Do sends a request and passes the replies to onReply until the last one. The
// refusal says that nothing ran only if the request was not sent. When ctx ends, the
// connection is closed, which cancels the request at the peer.
func (p *Peer) Do(ctx context.Context, request *wire.RelayRequest, onReply func(*wire.RelayReply)) *errs.Refusal {
	frame, err := wire.Append(nil, 0, request, maxFrameBytes)
	if err != nil {
		return errs.As(err)
	}
	c, err := p.acquire(ctx)
	if err != nil {
		return errs.Refuse(errs.PeerUnreachable, "VM %s: %v", p.VM, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	last, refusal := p.exchange(c, frame, onReply)
	if !stop() || refusal != nil {
		_ = c.Close() // its state is not known
	} else {
		p.release(c)
	}
	if refusal == nil {
		// The caller may end ctx on the last reply, which would close a connection
		// that is not kept yet.
		onReply(last)
	}
	return refusal
}

// exchange sends a request, passes all replies but the last one on, and returns that.
func (p *Peer) exchange(c *peerConn, frame []byte, onReply func(*wire.RelayReply)) (*wire.RelayReply, *errs.Refusal) {
	if _, err := c.Write(frame); err != nil {
		return nil, errs.Ambiguous(errs.PeerLost, "VM %s: %v", p.VM, err)
	}
	for {
		_, m, err := c.reader.Next()
		if err != nil {
			return nil, errs.Ambiguous(errs.PeerLost, "VM %s: %v", p.VM, err)
		}
		reply, ok := m.(*wire.RelayReply)
		if !ok {
			return nil, errs.Ambiguous(errs.ProtocolMismatch, "VM %s sent kind %d", p.VM, m.Kind())
		}
		if reply.Done {
			return reply, nil
		}
		onReply(reply)
	}
}

// acquire returns an idle connection, or opens a new one.
func (p *Peer) acquire(ctx context.Context) (*peerConn, error) {
	for c := p.takeIdle(); c != nil; c = p.takeIdle() {
		if time.Since(c.lastUsed) <= maxIdleTime && netconn.NothingToRead(c.Conn) {
			return c, nil
		}
		_ = c.Close() // the other VM has closed it or may do so now
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, "tcp", p.addr)
	if err != nil {
		return nil, err
	}
	return &peerConn{Conn: conn, reader: wire.NewReader(conn, maxFrameBytes)}, nil
}

func (p *Peer) takeIdle() *peerConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

func (p *Peer) release(c *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil || len(p.idle) >= maxIdleConns {
		_ = c.Close() // it is not needed
		return
	}
	c.lastUsed = time.Now()
	p.idle = append(p.idle, c)
}
