package e2e

import (
	"bytes"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// secureSite returns a site whose VMs have TLS on all three listeners.
func secureSite(t *testing.T) (*site, *authority) {
	s, a := newSite(t), newAuthority(t)
	s.scheme = "https"
	s.client.Transport = &http.Transport{TLSClientConfig: a.client()}
	t.Cleanup(s.client.CloseIdleConnections)
	s.edit = func(id string, settings map[string]any) {
		cert, key := a.issue(id)
		for name, l := range settings["listen"].(map[string]any) {
			files := map[string]string{"cert": cert, "key": key}
			if name == "peers" {
				files["ca"] = a.file
			}
			l.(map[string]any)["tls"] = files
		}
	}
	return s, a
}

// Guards against settings of TLS that leave a listener open in plain text,
// VMs that cannot reach each other over mutual TLS, and a peer that is
// admitted without a certificate.
func TestTLSOnAllListeners(t *testing.T) {
	s, authority := secureSite(t)
	a, b := s.start("a1", "a"), s.start("b1", "b")
	s.await("both VMs know each other", func() bool {
		return a.knows("b1") && b.knows("a1")
	})
	s.await("coverage through both VMs", func() bool { return a.covered() && b.covered() })
	assert.Equal(t, a.book("k1").status, http.StatusOK)
	for _, addr := range []string{a.callers, a.operators} {
		resp, err := http.Get("http://" + addr + "/healthz")
		if err == nil {
			assert.Equal(t, resp.StatusCode, http.StatusBadRequest, "plain HTTP at %s", addr)
			assert.NilError(t, resp.Body.Close())
		}
	}

	hello := &bytes.Buffer{}
	assert.NilError(t, wire.Write(hello, 0, &wire.Hello{
		Protocol: wire.ProtocolVersion, VM: model.VM{ID: "x1"}, Nonce: make([]byte, 32), Lane: wire.TrafficLane,
	}, wire.MaxHandshakeFrameBytes))
	cert, key := authority.issue("x1")
	pair, err := tls.LoadX509KeyPair(cert, key)
	assert.NilError(t, err)
	// With a certificate the peer listener answers the first frame; without
	// one, or with that of another authority, it does not.
	assert.Assert(t, answers(t, b.peers, authority.client(pair), hello.Bytes()) > 0)
	assert.Equal(t, answers(t, b.peers, authority.client(), hello.Bytes()), 0)
	cert, key = newAuthority(t).issue("x2")
	pair, err = tls.LoadX509KeyPair(cert, key)
	assert.NilError(t, err)
	assert.Equal(t, answers(t, b.peers, authority.client(pair), hello.Bytes()), 0)
	assert.Assert(t, a.covered() && b.covered())
}

// answers sends bytes to a peer listener and returns how many come back until
// it closes the connection.
func answers(t *testing.T, addr string, cfg *tls.Config, send []byte) int {
	t.Helper()
	raw, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer raw.Close()
	var conn net.Conn = raw
	if cfg != nil {
		conn = tls.Client(raw, cfg)
	}
	_, _ = conn.Write(send)
	if c, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite()
	}
	n, _ := io.Copy(io.Discard, conn)
	return int(n)
}

// Guards against a peer frame that is truncated, too large or of another
// protocol version, or a peer with a wrong secret, that stops a VM, loses
// work, or leaves no trace in the log; against a VM that gets callers although
// no peer accepts it; and against secrets in the log.
func TestBadPeers(t *testing.T) {
	s := newSite(t)
	a, b := s.start("a1", "a"), s.start("b1", "b")
	s.await("coverage through both VMs", func() bool { return a.covered() && b.covered() })
	assert.Equal(t, a.book("k1").status, http.StatusOK)

	frame := func(size uint32, version byte) []byte {
		f := binary.BigEndian.AppendUint32(nil, size)
		return append(f, version, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0x80)
	}
	answers(t, b.peers, nil, frame(4000, wire.ProtocolVersion))
	answers(t, b.peers, nil, frame(1<<31, wire.ProtocolVersion))
	answers(t, b.peers, nil, frame(11, wire.ProtocolVersion+1))
	s.edit = func(_ string, settings map[string]any) { settings["peer_secret"] = "another-secret-of-a-test" }
	c := s.launch("c1", "b")
	for _, want := range []string{"frame_too_large", "protocol_mismatch", "authentication_failed"} {
		s.await(want+" in the log of b1", func() bool { return b.output.contains(want) })
	}
	s.await("refusals in the log of c1", func() bool { return c.output.contains("authentication_failed") })
	// It knows the configuration and all replicas, which is all that readiness
	// needs otherwise, and has published more views since.
	seq := uint64(0)
	s.await("views of c1", func() bool {
		st, ok := c.status()
		if seq == 0 && ok && len(st.Replicas) == 8 {
			seq = st.ViewSeq
		}
		return seq > 0 && st.ViewSeq > seq+20
	})
	assert.Assert(t, !c.ready())
	assert.Assert(t, !b.knows("c1") && !a.knows("c1"))
	assert.Equal(t, a.book("k1").status, http.StatusOK, "the recorded answer is lost")
	assert.Assert(t, a.covered() && b.covered())
	for _, p := range []*process{a, b, c} {
		assert.Assert(t, !p.output.contains(secret) && !p.output.contains("another-secret-of-a-test"))
	}
}
