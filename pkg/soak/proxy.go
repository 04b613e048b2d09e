// Package soak runs real processes of the tier on loopback, injects faults
// from outside them, and checks what callers and replicas see.
package soak

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// link is how a proxy treats bytes.
type link string

const (
	linkWell link = "well"
	// linkSlow delays each chunk.
	linkSlow link = "slow"
	// linkSilent stops passing bytes in both directions, linkOneWay those from
	// the server to the client.
	linkSilent link = "silent"
	linkOneWay link = "one way"
	// linkEndless puts a head without end in place of answers, linkDripping passes
	// a few bytes of them a second.
	linkEndless  link = "endless"
	linkDripping link = "dripping"
)

// linkDelay is the delay of a slow link.
const linkDelay = 40 * time.Millisecond

const (
	// dripBytes are passed every dripInterval on a dripping link.
	dripBytes    = 2
	dripInterval = 100 * time.Millisecond
)

// endlessHead is the start of a head that a field without end follows.
const endlessHead = "HTTP/1.1 200 OK\r\nX-Field: "

// proxy passes bytes between clients and one server, and spoils them on demand.
type proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// ended is set by close.
	ended   bool
	state   link
	changed chan struct{}
	conns   map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, state: linkWell, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.accept(l)
	return p, nil
}

func (p *proxy) addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

func (p *proxy) set(state link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	close(p.changed)
	p.changed = make(chan struct{})
}

// reset breaks all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // without it the close would be orderly
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	p.stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
}

// stop breaks all connections and refuses new ones.
func (p *proxy) stop() {
	p.mu.Lock()
	_ = p.listener.Close() // ends accept
	p.mu.Unlock()
	p.reset()
}

// reopen accepts connections again after stop, at another address. It reports false
// after close.
func (p *proxy) reopen() (bool, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		_ = l.Close() // nothing has connected to it
		return false, nil
	}
	p.listener = l
	go p.accept(l)
	return true, nil
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.pass(c)
	}
}

func (p *proxy) pass(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, client, false) })
	both.Go(func() { p.copy(client, server, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copy passes bytes until either side ends, and then ends both.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if p.write(to, buffer[:n], answers) != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// write passes bytes on as the state of the link demands.
func (p *proxy) write(to net.Conn, b []byte, answers bool) error {
	p.wait(answers)
	switch state, _ := p.current(); {
	case answers && state == linkEndless:
		return p.writeWithoutEnd(to)
	case answers && state == linkDripping:
		return p.drip(to, b)
	}
	_, err := to.Write(b)
	return err
}

// writeWithoutEnd writes a head until the other side closes the connection. Its error
// is never nil: what follows on the connection would be no answer.
func (p *proxy) writeWithoutEnd(to net.Conn) error {
	_, err := to.Write([]byte(endlessHead))
	for block := bytes.Repeat([]byte("x"), 16<<10); err == nil; {
		_, err = to.Write(block)
	}
	return err
}

// drip writes some bytes at a time while the link drips, and then the rest.
func (p *proxy) drip(to net.Conn, b []byte) error {
	for len(b) > dripBytes {
		state, changed := p.current()
		if state != linkDripping {
			break
		}
		if _, err := to.Write(b[:dripBytes]); err != nil {
			return err
		}
		b = b[dripBytes:]
		select {
		case <-time.After(dripInterval):
		case <-changed:
		}
	}
	_, err := to.Write(b)
	return err
}

// current returns the state of the link, and what is closed when it changes.
func (p *proxy) current() (link, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, p.changed
}

// wait holds bytes back as the state of the link demands.
func (p *proxy) wait(answers bool) {
	for {
		state, changed := p.current()
		switch {
		case state == linkSlow:
			time.Sleep(linkDelay)
			return
		case state == linkSilent, state == linkOneWay && answers:
			<-changed
		default:
			return
		}
	}
}
