package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"net"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// handshakeTimeout bounds a handshake, so that a client that says nothing
	// does not hold one of the bounded connections.
	handshakeTimeout = 2 * time.Second
	nonceSize        = 32
	macContext       = "nutmeghitch peer handshake"
)

// Roles enter the MAC, so that a proof cannot be reflected to its sender.
const (
	roleDialer   = "dialer"
	roleAcceptor = "acceptor"
)

// dialHandshake authenticates both ends from the dialling side.
func dialHandshake(nc net.Conn, r *wire.Reader, self, peer model.VM, secret []byte, lane wire.Lane) error {
	mine, err := newHello(self, lane)
	if err != nil {
		return err
	}
	if err := wire.Write(nc, 0, mine, wire.MaxHandshakeFrameBytes); err != nil {
		return unreachable(err)
	}
	theirs, err := readHandshake[*wire.Hello](r)
	if err != nil {
		return err
	}
	if theirs.VM.ID != peer.ID {
		return errs.Refuse(errs.PeerUnreachable, "%s answers as %s, expected %s", peer.Addr, theirs.VM.ID, peer.ID)
	}
	if err := wire.Write(nc, 0, prove(secret, roleDialer, mine, theirs), wire.MaxHandshakeFrameBytes); err != nil {
		return unreachable(err)
	}
	proof, err := readHandshake[*wire.Proof](r)
	if err != nil {
		return err
	}
	return verify(proof, prove(secret, roleAcceptor, mine, theirs))
}

// acceptHandshake authenticates both ends from the accepting side. It tells
// the dialer the type of a failure before it returns it.
func acceptHandshake(nc net.Conn, r *wire.Reader, self model.VM, secret []byte) (*wire.Hello, error) {
	theirs, err := readHandshake[*wire.Hello](r)
	if err != nil {
		// A frame of this VM's version shows a dialer of another version why
		// it is refused.
		_ = wire.Write(nc, 0, wire.FailureOf(err), wire.MaxHandshakeFrameBytes)
		return nil, err
	}
	mine, err := newHello(self, theirs.Lane)
	if err != nil {
		return nil, err
	}
	if err := wire.Write(nc, 0, mine, wire.MaxHandshakeFrameBytes); err != nil {
		return nil, unreachable(err)
	}
	proof, err := readHandshake[*wire.Proof](r)
	if err != nil {
		return nil, err
	}
	if err := verify(proof, prove(secret, roleDialer, theirs, mine)); err != nil {
		_ = wire.Write(nc, 0, wire.FailureOf(err), wire.MaxHandshakeFrameBytes)
		return nil, err
	}
	if theirs.Lane != wire.ControlLane && theirs.Lane != wire.TrafficLane {
		return nil, errs.Refuse(errs.FrameMalformed, "unknown lane %d", theirs.Lane)
	}
	if err := wire.Write(nc, 0, prove(secret, roleAcceptor, theirs, mine), wire.MaxHandshakeFrameBytes); err != nil {
		return nil, unreachable(err)
	}
	return theirs, nil
}

func newHello(self model.VM, lane wire.Lane) (*wire.Hello, error) {
	nonce := make([]byte, nonceSize)
	if _, err := rand.Read(nonce); err != nil {
		return nil, errs.Refuse(errs.Internal, "read nonce: %v", err)
	}
	return &wire.Hello{Protocol: wire.ProtocolVersion, VM: self, Nonce: nonce, Lane: lane}, nil
}

func readHandshake[M wire.Message](r *wire.Reader) (M, error) {
	var none M
	_, m, err := r.Next()
	if err != nil {
		return none, unreachable(err)
	}
	switch m := m.(type) {
	case M:
		return m, nil
	case *wire.Failure:
		return none, m.Err()
	default:
		return none, errs.Refuse(errs.FrameMalformed, "kind %d during the handshake", m.Kind())
	}
}

// prove computes the proof of one role over both nonces and identities. Each
// part is preceded by its length, so no two inputs give the same bytes.
func prove(secret []byte, role string, dialer, acceptor *wire.Hello) *wire.Proof {
	mac := hmac.New(sha256.New, secret)
	parts := [][]byte{
		[]byte(macContext), []byte(role), {wire.ProtocolVersion, byte(dialer.Lane)},
		dialer.Nonce, acceptor.Nonce, []byte(dialer.VM.ID), []byte(acceptor.VM.ID),
	}
	for _, p := range parts {
		var size [4]byte
		binary.BigEndian.PutUint32(size[:], uint32(len(p)))
		mac.Write(size[:])
		mac.Write(p)
	}
	return &wire.Proof{MAC: mac.Sum(nil)}
}

func verify(got, want *wire.Proof) error {
	if hmac.Equal(got.MAC, want.MAC) {
		return nil
	}
	return errs.Refuse(errs.AuthenticationFailed, "peer does not know the shared secret")
}

// unreachable types an I/O error of the handshake; typed errors stay as they are.
func unreachable(err error) error {
	if r := errs.As(err); r.Code != errs.Internal {
		return err
	}
	return errs.Refuse(errs.PeerUnreachable, "handshake: %v", err)
}
