package peer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// pipeNet connects transports through net.Pipe, so that tests run in virtual
// time. Silence makes all writes of open connections disappear.
type pipeNet struct {
	conns chan net.Conn
	dials atomic.Int64
	open  []*quietConn
	down  atomic.Bool
}

type quietConn struct {
	net.Conn
	quiet atomic.Bool
}

func (q *quietConn) Write(b []byte) (int, error) {
	if q.quiet.Load() {
		return len(b), nil
	}
	return q.Conn.Write(b)
}

func (p *pipeNet) Accept() (net.Conn, error) {
	c, ok := <-p.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p *pipeNet) Close() error   { return nil }
func (p *pipeNet) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeNet) dial(context.Context, string) (net.Conn, error) {
	p.dials.Add(1)
	if p.down.Load() {
		return nil, net.ErrClosed
	}
	a, b := net.Pipe()
	qa, qb := &quietConn{Conn: a}, &quietConn{Conn: b}
	p.open = append(p.open, qa, qb)
	p.conns <- qb
	return qa, nil
}

func (p *pipeNet) silence() {
	for _, q := range p.open {
		q.quiet.Store(true)
	}
}

var target = model.VM{ID: "b", Addr: "b:1"}

func quietLog() logrus.FieldLogger {
	l := logrus.New()
	l.SetLevel(logrus.PanicLevel)
	return l
}

// pair runs test with a client and a server transport in virtual time.
func pair(t *testing.T, secretA, secretB string, handle func(*Transport), test func(t *testing.T, a *Transport, n *pipeNet)) {
	synctest.Test(t, func(t *testing.T) {
		n := &pipeNet{conns: make(chan net.Conn, 16)}
		a := New(Config{Self: model.VM{ID: "a"}, Secret: []byte(secretA), Dial: n.dial, Log: quietLog()})
		b := New(Config{Self: model.VM{ID: "b"}, Secret: []byte(secretB), Listener: n, Log: quietLog()})
		handle(b)
		go func() { _ = b.Serve(t.Context()) }()
		defer func() {
			a.Close()
			b.Close()
			close(n.conns)
			synctest.Wait()
		}()
		test(t, a, n)
	})
}

func echo(b *Transport) {
	b.Handle(wire.KindCallRequest, func(ctx context.Context, _ model.VMID, m wire.Message, in <-chan wire.Message, reply func(wire.Message) error) {
		r := m.(*wire.CallRequest)
		if r.Operation == "wait" {
			select {
			case <-time.After(r.Remaining):
			case <-ctx.Done():
				return
			}
		}
		_ = reply(&wire.CallReply{RequestID: r.RequestID})
	})
	b.Handle(wire.KindSearchBatch, func(ctx context.Context, _ model.VMID, m wire.Message, in <-chan wire.Message, reply func(wire.Message) error) {
		for reply(&wire.SearchPartial{}) == nil && ctx.Err() == nil {
		}
	})
}

// Guards against a wrong secret being accepted or reported without a type.
func TestWrongSecret(t *testing.T) {
	pair(t, "one", "two", echo, func(t *testing.T, a *Transport, _ *pipeNet) {
		_, err := a.Open(t.Context(), target, &wire.CallRequest{})
		assert.Assert(t, errs.Is(err, errs.AuthenticationFailed), "%v", err)
		assert.Equal(t, errs.As(err).RunState, errs.DidNotRun)
	})
}

// Guards against work being sent to another VM that took over the address.
func TestWrongIdentity(t *testing.T) {
	pair(t, "s", "s", echo, func(t *testing.T, a *Transport, _ *pipeNet) {
		_, err := a.Open(t.Context(), model.VM{ID: "c", Addr: "b:1"}, &wire.CallRequest{})
		assert.Assert(t, errs.Is(err, errs.PeerUnreachable), "%v", err)
	})
}

// Guards against a peer of another protocol version getting an untyped error,
// on either side of the connection.
func TestOtherProtocolVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		newer, err := wire.Append(nil, 0, &wire.Hello{}, wire.MaxHandshakeFrameBytes)
		assert.NilError(t, err)
		newer[4]++
		for _, dialling := range []bool{true, false} {
			mine, theirs := net.Pipe()
			ours := wire.NewHandshakeReader(bufio.NewReader(mine))
			go func() {
				if dialling {
					_, _ = theirs.Read(make([]byte, wire.MaxHandshakeFrameBytes))
				}
				_, _ = theirs.Write(newer)
				_, _ = theirs.Read(make([]byte, wire.MaxHandshakeFrameBytes))
			}()
			if dialling {
				err = dialHandshake(mine, ours, model.VM{ID: "a"}, target, nil, wire.ControlLane)
			} else {
				_, err = acceptHandshake(mine, ours, target, nil)
			}
			assert.Check(t, errs.Is(err, errs.ProtocolMismatch), "%v", err)
			_ = mine.Close()
		}
	})
}

// Guards against replies that reach the wrong exchange, and against a stream
// whose replies are not read blocking the others.
func TestSlowStreamDoesNotBlockOthers(t *testing.T) {
	pair(t, "s", "s", echo, func(t *testing.T, a *Transport, _ *pipeNet) {
		flood, err := a.Open(t.Context(), target, &wire.SearchBatch{})
		assert.NilError(t, err)
		for i := range 50 {
			id := fmt.Sprint(i)
			s, err := a.Open(t.Context(), target, &wire.CallRequest{RequestID: id})
			assert.NilError(t, err)
			m, err := s.Recv(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, m.(*wire.CallReply).RequestID, id)
			s.Close()
		}
		time.Sleep(time.Minute)
		for err == nil {
			_, err = flood.Recv(t.Context())
		}
		assert.Assert(t, errs.Is(err, errs.QueueFull), "%v", err)
	})
}

// Guards against first frames that are queued in another order than their
// stream ids: the accepting side then took some for late frames of ended
// exchanges and never answered them.
func TestConcurrentOpensAreAllAnswered(t *testing.T) {
	pair(t, "s", "s", echo, func(t *testing.T, a *Transport, _ *pipeNet) {
		var group errgroup.Group
		for range 64 {
			group.Go(func() error {
				for range 50 {
					s, err := a.Open(t.Context(), target, &wire.CallRequest{})
					if err != nil {
						return err
					}
					ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
					_, err = s.Recv(ctx)
					cancel()
					s.Close()
					if err != nil {
						return err
					}
				}
				return nil
			})
		}
		assert.NilError(t, group.Wait())
	})
}

// Guards against an exchange on a silent connection that never ends, and
// against the next exchange using the same connection.
func TestSilentConnectionIsRetired(t *testing.T) {
	pair(t, "s", "s", echo, func(t *testing.T, a *Transport, n *pipeNet) {
		s, err := a.Open(t.Context(), target, &wire.CallRequest{Operation: "wait", Remaining: time.Hour})
		assert.NilError(t, err)
		synctest.Wait()
		n.silence()
		_, err = s.Recv(t.Context())
		assert.Assert(t, errs.Is(err, errs.PeerLost), "%v", err)
		assert.Equal(t, errs.As(err).RunState, errs.MayHaveRun)
		s, err = a.Open(t.Context(), target, &wire.CallRequest{RequestID: "2"})
		assert.NilError(t, err)
		m, err := s.Recv(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, m.(*wire.CallReply).RequestID, "2")
		assert.Equal(t, n.dials.Load(), int64(2))
	})
}

// Guards against retiring a live connection whose exchange takes longer than
// the progress bound.
func TestLongExchangeIsNotRetired(t *testing.T) {
	pair(t, "s", "s", echo, func(t *testing.T, a *Transport, n *pipeNet) {
		s, err := a.Open(t.Context(), target, &wire.CallRequest{Operation: "wait", Remaining: time.Minute})
		assert.NilError(t, err)
		_, err = s.Recv(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, n.dials.Load(), int64(1))
	})
}

// Guards against a dial per request while a peer is down, and against a wrong
// run state: nothing was written.
func TestBackoffAfterFailedDial(t *testing.T) {
	pair(t, "s", "s", echo, func(t *testing.T, a *Transport, n *pipeNet) {
		n.down.Store(true)
		for range 100 {
			_, err := a.Open(t.Context(), target, &wire.CallRequest{})
			assert.Assert(t, errs.Is(err, errs.PeerUnreachable), "%v", err)
			assert.Equal(t, errs.As(err).RunState, errs.DidNotRun)
		}
		assert.Equal(t, n.dials.Load(), int64(1))
		n.down.Store(false)
		time.Sleep(backoffMax)
		_, err := a.Open(t.Context(), target, &wire.CallRequest{})
		assert.NilError(t, err)
	})
}

// Guards against an exchange that waits for ever, or claims that it did not
// run, when the peer's process ends.
func TestBrokenConnectionEndsStreams(t *testing.T) {
	pair(t, "s", "s", echo, func(t *testing.T, a *Transport, n *pipeNet) {
		s, err := a.Open(t.Context(), target, &wire.CallRequest{Operation: "wait", Remaining: time.Hour})
		assert.NilError(t, err)
		synctest.Wait()
		_ = n.open[1].Close()
		_, err = s.Recv(t.Context())
		assert.Assert(t, errs.Is(err, errs.PeerLost), "%v", err)
		assert.Equal(t, errs.As(err).RunState, errs.MayHaveRun)
	})
}

// Guards against connections that stay open without use, and against requests
// that are lost because their connection is closed as idle.
func TestIdleConnectionIsClosedAndReplaced(t *testing.T) {
	pair(t, "s", "s", echo, func(t *testing.T, a *Transport, n *pipeNet) {
		for i := range 3 {
			s, err := a.Open(t.Context(), target, &wire.CallRequest{})
			assert.NilError(t, err)
			_, err = s.Recv(t.Context())
			assert.NilError(t, err)
			s.Close()
			assert.Equal(t, n.dials.Load(), int64(i+1))
			time.Sleep(3 * idleTimeout)
			assert.Equal(t, len(a.conns()), 0)
		}
	})
}

// Guards against a connection to the former address of a replaced VM.
func TestNewAddressIsDialled(t *testing.T) {
	pair(t, "s", "s", echo, func(t *testing.T, a *Transport, n *pipeNet) {
		for i, addr := range []string{"b:1", "b:1", "b:2"} {
			_, err := a.Open(t.Context(), model.VM{ID: "b", Addr: addr}, &wire.CallRequest{})
			assert.NilError(t, err)
			assert.Equal(t, n.dials.Load(), int64(1+i/2))
		}
	})
}

// Guards against a handler that keeps running after its caller gave up.
func TestCloseCancelsHandler(t *testing.T) {
	ended := make(chan error, 1)
	handle := func(b *Transport) {
		b.Handle(wire.KindCallRequest, func(ctx context.Context, _ model.VMID, _ wire.Message, in <-chan wire.Message, _ func(wire.Message) error) {
			for range in {
			}
			ended <- context.Cause(ctx)
		})
	}
	pair(t, "s", "s", handle, func(t *testing.T, a *Transport, _ *pipeNet) {
		s, err := a.Open(t.Context(), target, &wire.CallRequest{})
		assert.NilError(t, err)
		s.Close()
		synctest.Wait()
		assert.Assert(t, errs.Is(<-ended, errs.Canceled))
	})
}

// Guards against a message after the end of a stream, which reached a closed
// channel of the accepting side while its handler was still running.
func TestMessageAfterEndIsDropped(t *testing.T) {
	handle := func(b *Transport) {
		b.Handle(wire.KindCallRequest, func(ctx context.Context, _ model.VMID, _ wire.Message, _ <-chan wire.Message, _ func(wire.Message) error) {
			time.Sleep(time.Minute)
		})
	}
	pair(t, "s", "s", handle, func(t *testing.T, a *Transport, _ *pipeNet) {
		s, err := a.Open(t.Context(), target, &wire.CallRequest{})
		assert.NilError(t, err)
		s.Close()
		assert.Equal(t, errs.As(s.Send(&wire.CancelAttempts{})).RunState, errs.DidNotRun)
		c := s.(*stream).c
		assert.NilError(t, c.send(t.Context(), s.(*stream).id, &wire.CancelAttempts{}))
		time.Sleep(2 * time.Minute)
	})
}

// Guards against a notification whose answer needs the sender's address, and
// against unbounded incoming connections.
func TestNotifyAnswerAndIncomingBound(t *testing.T) {
	handle := func(b *Transport) {
		b.cfg.MaxIncoming = 1
		b.Handle(wire.KindPing, func(_ context.Context, from model.VMID, m wire.Message, _ <-chan wire.Message, reply func(wire.Message) error) {
			_ = reply(&wire.Ack{Sequence: m.(*wire.Ping).Sequence})
		})
	}
	pair(t, "s", "s", handle, func(t *testing.T, a *Transport, _ *pipeNet) {
		acks := make(chan uint64, 1)
		a.Handle(wire.KindAck, func(_ context.Context, from model.VMID, m wire.Message, _ <-chan wire.Message, _ func(wire.Message) error) {
			assert.Check(t, from == "b")
			acks <- m.(*wire.Ack).Sequence
		})
		assert.NilError(t, a.Notify(t.Context(), target, &wire.Ping{Sequence: 9}))
		assert.Equal(t, <-acks, uint64(9))
		_, err := a.Open(t.Context(), target, &wire.CallRequest{})
		assert.Assert(t, errs.Is(err, errs.PeerUnreachable), "%v", err)
	})
}

// Guards against TLS settings that are ignored on one side.
func TestTLS(t *testing.T) {
	web := httptest.NewTLSServer(nil)
	defer web.Close()
	cfg := web.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
	cfg.Certificates = web.TLS.Certificates
	cfg.ServerName = "example.com"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	vm := model.VM{ID: "b", Addr: l.Addr().String()}
	server := New(Config{Self: vm, Listener: l, TLS: cfg, Log: quietLog()})
	echo(server)
	go func() { _ = server.Serve(t.Context()) }()
	defer server.Close()
	secure := New(Config{Self: model.VM{ID: "a"}, TLS: cfg, Log: quietLog()})
	defer secure.Close()
	s, err := secure.Open(t.Context(), vm, &wire.CallRequest{})
	assert.NilError(t, err)
	_, err = s.Recv(t.Context())
	assert.NilError(t, err)
	plain := New(Config{Self: model.VM{ID: "c"}, Log: quietLog()})
	defer plain.Close()
	_, err = plain.Open(t.Context(), vm, &wire.CallRequest{})
	assert.Assert(t, err != nil)
	assert.Equal(t, errs.As(err).RunState, errs.DidNotRun)
}
