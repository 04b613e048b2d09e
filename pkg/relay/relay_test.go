package relay

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// pipeVM is a VM that serves relayed requests over connections in memory.
type pipeVM struct {
	ctx    context.Context
	handle Handler
	dials  atomic.Int64
}

func (v *pipeVM) dial(context.Context, string, string) (net.Conn, error) {
	v.dials.Add(1)
	client, server := net.Pipe()
	go func() {
		_, m, err := wire.NewReader(server, maxFrameBytes).Next()
		if err != nil {
			_ = server.Close()
			return
		}
		log := logrus.New()
		log.SetOutput(io.Discard)
		Serve(v.ctx, server, m.(*wire.RelayRequest), v.handle, log)
	}()
	return client, nil
}

// inBubble runs f in virtual time with a VM that handles requests with handle.
func inBubble(t *testing.T, handle Handler, f func(t *testing.T, v *pipeVM, p *Peer)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		v := &pipeVM{ctx: ctx, handle: handle}
		p := NewPeer("vm1", "d1", "a:1", v.dial)
		f(t, v, p)
		p.Close()
		cancel()
		synctest.Wait()
	})
}

// answerTwice passes on two replies.
func answerTwice(_ context.Context, request *wire.RelayRequest, reply func(*wire.RelayReply) error) {
	_ = reply(&wire.RelayReply{Records: []byte(request.RequestID)})
	time.Sleep(time.Millisecond)
	_ = reply(&wire.RelayReply{Done: true})
}

// Guards against replies that reach another request, and against a connection for
// each request.
func TestRequestsShareAConnection(t *testing.T) {
	inBubble(t, answerTwice, func(t *testing.T, v *pipeVM, p *Peer) {
		for _, id := range []string{"a", "b", "c"} {
			var got []string
			refusal := p.Do(t.Context(), &wire.RelayRequest{RequestID: id}, func(r *wire.RelayReply) { got = append(got, string(r.Records)) })
			assert.Assert(t, refusal == nil, "%v", refusal)
			assert.DeepEqual(t, got, []string{id, ""})
		}
		assert.Equal(t, v.dials.Load(), int64(1))
		time.Sleep(maxIdleTime + time.Second) // the other VM may close it from now on
		refusal := p.Do(t.Context(), &wire.RelayRequest{}, func(*wire.RelayReply) {})
		assert.Assert(t, refusal == nil, "%v", refusal)
		assert.Equal(t, v.dials.Load(), int64(2))
	})
}

// Guards against a request that goes on at the other VM after its end here, and
// against the reuse of a connection on which replies may still arrive.
func TestEndOfARequestCancelsItAtTheOtherVM(t *testing.T) {
	var canceled atomic.Int64
	wait := func(ctx context.Context, _ *wire.RelayRequest, _ func(*wire.RelayReply) error) {
		<-ctx.Done()
		canceled.Add(1)
	}
	inBubble(t, wait, func(t *testing.T, v *pipeVM, p *Peer) {
		for range 2 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			refusal := p.Do(ctx, &wire.RelayRequest{}, func(*wire.RelayReply) {})
			cancel()
			assert.Assert(t, refusal != nil && refusal.RunState == errs.MayHaveRun, "%v", refusal)
			synctest.Wait()
		}
		assert.Equal(t, canceled.Load(), int64(2))
		assert.Equal(t, v.dials.Load(), int64(2))
	})
}

// Guards against a refusal that says nothing ran although the request was sent, and
// the reverse.
func TestRunStateOfFailedRelays(t *testing.T) {
	inBubble(t, func(context.Context, *wire.RelayRequest, func(*wire.RelayReply) error) {}, func(t *testing.T, v *pipeVM, p *Peer) {
		unreachable := NewPeer("vm2", "d1", "a:2", func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed })
		refusal := unreachable.Do(t.Context(), &wire.RelayRequest{}, func(*wire.RelayReply) {})
		assert.Assert(t, refusal != nil && refusal.Code == errs.PeerUnreachable && refusal.RunState == errs.DidNotRun, "%v", refusal)
		broken := NewPeer("vm3", "d1", "a:3", func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				_, _ = server.Read(make([]byte, 4))
				_ = server.Close()
			}()
			return client, nil
		})
		refusal = broken.Do(t.Context(), &wire.RelayRequest{}, func(*wire.RelayReply) {})
		assert.Assert(t, refusal != nil && refusal.RunState == errs.MayHaveRun, "%v", refusal)
		tooLong := &wire.RelayRequest{Body: make([]byte, maxFrameBytes)}
		refusal = p.Do(t.Context(), tooLong, func(*wire.RelayReply) {})
		assert.Assert(t, refusal != nil && refusal.RunState == errs.DidNotRun, "%v", refusal)
		assert.Equal(t, v.dials.Load(), int64(0))
	})
}

// Guards against a VM that answers with another message, or without end.
func TestInvalidRepliesEndTheRequest(t *testing.T) {
	for name, write := range map[string]func(c net.Conn){
		"another kind": func(c net.Conn) { _ = wire.Write(c, 0, &wire.Ping{}, maxFrameBytes) },
		"long frame": func(c net.Conn) {
			_, _ = c.Write([]byte{0x7f, 0xff, 0xff, 0xff, wire.ProtocolVersion, byte(wire.KindRelayReply), 0, 0, 0, 0, 0, 0, 0, 0})
		},
		"no frame": func(c net.Conn) { _, _ = c.Write(make([]byte, 64)) },
	} {
		synctest.Test(t, func(t *testing.T) {
			p := NewPeer("vm1", "d1", "a:1", func(context.Context, string, string) (net.Conn, error) {
				client, server := net.Pipe()
				go func() {
					_, _, _ = wire.NewReader(server, maxFrameBytes).Next()
					write(server)
					_ = server.Close()
				}()
				return client, nil
			})
			refusal := p.Do(t.Context(), &wire.RelayRequest{}, func(*wire.RelayReply) {})
			assert.Assert(t, refusal != nil && refusal.RunState == errs.MayHaveRun, "%s: %v", name, refusal)
			synctest.Wait()
		})
	}
}

// Guards against queries that try a VM again before it answers, against probes in
// quick succession, and against a VM that stays unused after it answers again.
func TestFailedPeerIsUsedAgainOnceItAnswersAProbe(t *testing.T) {
	var silent atomic.Bool
	silent.Store(true)
	handle := func(_ context.Context, request *wire.RelayRequest, reply func(*wire.RelayReply) error) {
		if !silent.Load() && len(request.Services) == 0 {
			_ = reply(&wire.RelayReply{Done: true})
		}
	}
	inBubble(t, handle, func(t *testing.T, v *pipeVM, p *Peer) {
		assert.Assert(t, p.Usable())
		p.Failed()
		p.Failed() // by another query that was sent before
		p.Suspect()
		time.Sleep(10 * time.Second)
		assert.Assert(t, !p.Usable())
		assert.Assert(t, v.dials.Load() >= 4 && v.dials.Load() <= 10, "%d probes in 10 s", v.dials.Load())
		silent.Store(false)
		time.Sleep(maxProbePause + probeTimeout)
		assert.Assert(t, p.Usable())
		p.Suspect()
		assert.Assert(t, !p.Usable())
		time.Sleep(time.Millisecond)
		assert.Assert(t, p.Usable(), "a VM that answers is used again at once")
		p.Close()
		assert.Assert(t, !p.Usable())
	})
}

// FuzzServe reads arbitrary bytes as the further messages of a relay connection. It
// guards against a crash, and against a connection that stays open after an invalid
// message.
func FuzzServe(f *testing.F) {
	frame, err := wire.Append(nil, 0, &wire.RelayRequest{RequestID: "1", Services: []string{"a"}, Left: time.Second}, maxFrameBytes)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame)
	f.Add(append(append([]byte{}, frame...), 1, 2, 3))
	f.Fuzz(func(t *testing.T, raw []byte) {
		client, server := net.Pipe()
		done := make(chan struct{})
		log := logrus.New()
		log.SetOutput(io.Discard)
		go func() {
			defer close(done)
			Serve(t.Context(), server, &wire.RelayRequest{}, func(_ context.Context, _ *wire.RelayRequest, reply func(*wire.RelayReply) error) {
				_ = reply(&wire.RelayReply{Done: true})
			}, log)
		}()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		_, _ = client.Write(raw) // fails after an invalid message
		_ = client.Close()
		<-done
	})
}
