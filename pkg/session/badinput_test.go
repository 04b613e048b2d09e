package session

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

func badInput(s *site) {
	long := `{"query":{"text":"` + strings.Repeat("x", maxBody) + `"}}`
	for _, c := range []struct{ note, path, body, header, value string }{
		{"Unknown names.", "/v1/search/nothing", everything, "", ""},
		{"", "/v1/search/trips", everything, "", ""},
		{"", "/v1/call/trips/nothing", booking, "", ""},
		{"", "/v1/nothing", booking, "", ""},
		{"Bodies.", searchPath, `{"query":`, "", ""},
		{"", searchPath, `{"limit":3}`, "", ""},
		{"", searchPath, `{"query":{},"limit":-1}`, "", ""},
		{"", searchPath, long, "", ""},
		{"", bookPath, `[]`, "Idempotency-Key", "k1"},
		{"Deadlines.", searchPath, everything, "Nutmeghitch-Deadline-Ms", "soon"},
		{"", searchPath, everything, "Nutmeghitch-Deadline-Ms", "0"},
		{"", searchPath, everything, "Nutmeghitch-Deadline-Ms", "99999999"},
		{"Keys and names.", bookPath, booking, "", ""},
		{"", bookPath, booking, "Idempotency-Key", strings.Repeat("k", 300)},
		{"", searchPath, everything, "Nutmeghitch-Request-Id", "a b"},
	} {
		if c.note != "" {
			s.note("%s", c.note)
		}
		if c.header == "" {
			s.post("vm-a", c.path, c.body)
			continue
		}
		s.post("vm-a", c.path, c.body, c.header, c.value)
	}
	s.badPeers()
	s.note("The VM still serves.")
	s.post("vm-a", searchPath, everything)
}

// badPeers opens connections to the peer listener that must be refused.
func (s *site) badPeers() {
	hello := &wire.Hello{Protocol: wire.ProtocolVersion, VM: model.VM{ID: "vm-b"}, Nonce: make([]byte, 32), Lane: wire.TrafficLane}
	frame, err := wire.Append(nil, 0, hello, wire.MaxHandshakeFrameBytes)
	assert.NilError(s.t, err)
	proof, err := wire.Append(nil, 0, &wire.Proof{MAC: make([]byte, 32)}, wire.MaxHandshakeFrameBytes)
	assert.NilError(s.t, err)
	batch, err := wire.Append(nil, 1, &wire.SearchBatch{QueryID: "q"}, wire.MaxHandshakeFrameBytes)
	assert.NilError(s.t, err)
	other := append([]byte(nil), frame...)
	other[4] = wire.ProtocolVersion + 1
	oversized := append([]byte(nil), frame...)
	binary.BigEndian.PutUint32(oversized, wire.MaxTrafficFrameBytes+1)
	for _, c := range []struct {
		name string
		sent []byte
	}{
		{"a truncated frame", frame[:len(frame)-5]},
		{"an oversized frame", oversized},
		{"another protocol version", other},
		{"a wrong secret", append(append([]byte(nil), frame...), proof...)},
		{"work before the handshake", batch},
	} {
		fmt.Fprintf(&s.out, "peer -> vm-a %s\n%s\n", c.name, s.peerSays(c.sent))
	}
}

// peerSays writes raw bytes to the peer listener and renders what comes back.
func (s *site) peerSays(sent []byte) string {
	c, err := net.Dial("tcp", s.vms["vm-a"].peers)
	assert.NilError(s.t, err)
	defer c.Close()
	_, err = c.Write(sent)
	assert.NilError(s.t, err)
	assert.NilError(s.t, c.(*net.TCPConn).CloseWrite())
	var out strings.Builder
	r := wire.NewReader(c, wire.MaxTrafficFrameBytes)
	for {
		_, m, err := r.Next()
		if err != nil {
			break
		}
		switch m := m.(type) {
		case *wire.Hello:
			fmt.Fprintf(&out, "  < hello %s\n", m.VM.ID)
		case *wire.Failure:
			fmt.Fprintf(&out, "  < failure%s\n", failure(m))
		default:
			fmt.Fprintf(&out, "  < kind %d\n", m.Kind())
		}
	}
	_, _ = io.Copy(io.Discard, c)
	return out.String() + "  < closed\n"
}
