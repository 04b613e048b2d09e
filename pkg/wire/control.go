package wire

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// Lane identifies one of the two connections to a peer. Control messages and
// traffic have separate connections, so that a large result never delays a ping.
type Lane uint8

// Lanes of a peer. Values are part of the protocol.
const (
	ControlLane Lane = iota + 1
	TrafficLane
)

// MaxFrameBytes returns the size limit of a frame on the lane, header included.
func (l Lane) MaxFrameBytes() int {
	if l == ControlLane {
		return MaxControlFrameBytes
	}
	return MaxTrafficFrameBytes
}

// String returns the lower-case name of the lane.
func (l Lane) String() string {
	if l == ControlLane {
		return "control"
	}
	return "traffic"
}

// Hello is the first message that each end of a new connection sends.
type Hello struct {
	Protocol uint8    `msgpack:"protocol"`
	VM       model.VM `msgpack:"vm"`
	Nonce    []byte   `msgpack:"nonce"`
	Lane     Lane     `msgpack:"lane"`
}

// Proof carries a MAC that only a sender with the shared secret can compute.
type Proof struct {
	MAC []byte `msgpack:"mac"`
}

// Member is the gossiped form of a model.VM. Its encoded names are one letter long
// because all updates that are piggybacked on a message share 1,400 bytes.
type Member struct {
	ID          model.VMID     `msgpack:"i"`
	Addr        string         `msgpack:"a"`
	Domain      model.DomainID `msgpack:"d"`
	Region      model.RegionID `msgpack:"r"`
	State       model.VMState  `msgpack:"s"`
	Incarnation uint64         `msgpack:"n"`
}

// MemberOf converts a VM to its gossiped form.
func MemberOf(v model.VM) Member { return Member(v) }

// VM converts the member back into a VM.
func (m Member) VM() model.VM { return model.VM(m) }

// ItemKind is the kind of a gossiped item. Items of different kinds can have the
// same key.
type ItemKind uint8

// Kinds of items. Values are part of the protocol.
const (
	// ReplicaItem carries the model.ReplicaStatus of the replica that its key names.
	ReplicaItem ItemKind = iota + 1
	// PoisonItem carries the model.PoisonEntry of the fingerprint that its key names.
	PoisonItem
	// WatchFailureItem marks a VM whose watch of the platform fails. Its key is the
	// id of the VM.
	WatchFailureItem
)

// Item is a gossiped key and value. Of two items with the same kind and key the
// one with the higher (Sequence, Origin) replaces the other. TTL is the remaining
// lifetime when the item is sent; 0 means that the item does not expire.
type Item struct {
	Kind     ItemKind      `msgpack:"k"`
	Key      string        `msgpack:"y"`
	Origin   model.VMID    `msgpack:"o"`
	Sequence uint64        `msgpack:"n"`
	Payload  []byte        `msgpack:"p"`
	TTL      time.Duration `msgpack:"t,omitempty"`
}

// Ping asks a peer for an Ack. From carries the sender's incarnation, Members and
// Items are piggybacked gossip.
type Ping struct {
	Sequence      uint64   `msgpack:"seq"`
	From          Member   `msgpack:"from"`
	ConfigVersion uint64   `msgpack:"cfg"`
	Members       []Member `msgpack:"m"`
	Items         []Item   `msgpack:"i"`
}

// Ack answers the Ping with the same sequence number.
type Ack struct {
	Sequence      uint64   `msgpack:"seq"`
	From          Member   `msgpack:"from"`
	ConfigVersion uint64   `msgpack:"cfg"`
	Members       []Member `msgpack:"m"`
	Items         []Item   `msgpack:"i"`
}

// PingRequest asks a peer to ping another VM on behalf of the sender.
type PingRequest struct {
	Sequence uint64 `msgpack:"seq"`
	From     Member `msgpack:"from"`
	Target   Member `msgpack:"target"`
}

// PingResult answers the PingRequest with the same sequence number. Reached tells
// whether the target answered the ping.
type PingResult struct {
	Sequence uint64     `msgpack:"seq"`
	Target   model.VMID `msgpack:"target"`
	Reached  bool       `msgpack:"reached"`
}

// SyncRequest starts a comparison of the whole gossiped state. Digest holds one
// hash for each bucket of members and items. Members and Items are the sender's
// entries in the buckets that an earlier SyncReply reported as different.
type SyncRequest struct {
	From          Member   `msgpack:"from"`
	ConfigVersion uint64   `msgpack:"cfg"`
	Digest        []byte   `msgpack:"digest"`
	Members       []Member `msgpack:"m"`
	Items         []Item   `msgpack:"i"`
}

// SyncReply carries the sender's entries in buckets that differ, as many as fit
// into one message. Buckets lists these buckets; More is set if further buckets
// differ.
type SyncReply struct {
	From          Member   `msgpack:"from"`
	ConfigVersion uint64   `msgpack:"cfg"`
	Buckets       []uint8  `msgpack:"b"`
	Members       []Member `msgpack:"m"`
	Items         []Item   `msgpack:"i"`
	More          bool     `msgpack:"more"`
}

// ConfigRequest asks a peer for its current manifest and, if Section is set, for
// the chunk of that section that starts at Offset.
type ConfigRequest struct {
	Version uint64 `msgpack:"version"`
	Section string `msgpack:"section"`
	Offset  int    `msgpack:"offset"`
}

// ConfigReply carries the sender's current manifest and, if a section was
// requested and the sender has it, the chunk of its body that starts at Offset.
// Total is the length of the whole body in bytes.
type ConfigReply struct {
	Version  uint64            `msgpack:"version"`
	Sections map[string]string `msgpack:"sections"`
	Section  string            `msgpack:"section"`
	Offset   int               `msgpack:"offset"`
	Total    int               `msgpack:"total"`
	Body     []byte            `msgpack:"body"`
}

// StreamEnd ends a stream. Only the transport sends and receives it.
type StreamEnd struct{}

// Probe asks the transport of the peer for a ProbeReply, which distinguishes a
// slow exchange from a connection that no longer carries data.
type Probe struct{}

// ProbeReply answers a Probe.
type ProbeReply struct{}

// Kind implements Message.
func (*Hello) Kind() Kind { return KindHello }

// Kind implements Message.
func (*Proof) Kind() Kind { return KindProof }

// Kind implements Message.
func (*Ping) Kind() Kind { return KindPing }

// Kind implements Message.
func (*Ack) Kind() Kind { return KindAck }

// Kind implements Message.
func (*PingRequest) Kind() Kind { return KindPingRequest }

// Kind implements Message.
func (*PingResult) Kind() Kind { return KindPingResult }

// Kind implements Message.
func (*SyncRequest) Kind() Kind { return KindSyncRequest }

// Kind implements Message.
func (*SyncReply) Kind() Kind { return KindSyncReply }

// Kind implements Message.
func (*ConfigRequest) Kind() Kind { return KindConfigRequest }

// Kind implements Message.
func (*ConfigReply) Kind() Kind { return KindConfigReply }

// Kind implements Message.
func (*StreamEnd) Kind() Kind { return KindStreamEnd }

// Kind implements Message.
func (*Probe) Kind() Kind { return KindProbe }

// Kind implements Message.
func (*ProbeReply) Kind() Kind { return KindProbeReply }
