package wire

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// Lane separates control messages from traffic, so that a large result never
// delays a ping.
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

// Hello opens a connection in both directions.
type Hello struct {
	Protocol uint8    `msgpack:"protocol"`
	VM       model.VM `msgpack:"vm"`
	Nonce    []byte   `msgpack:"nonce"`
	Lane     Lane     `msgpack:"lane"`
}

// Proof shows that the sender knows the shared secret.
type Proof struct {
	MAC []byte `msgpack:"mac"`
}

// Member is the gossiped form of a model.VM. Its keys are one letter long
// because piggybacked updates share 1,400 bytes per message.
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

// VM converts the member back.
func (m Member) VM() model.VM { return model.VM(m) }

// ItemKind separates the key spaces of gossiped items.
type ItemKind uint8

// Kinds of items. Values are part of the protocol.
const (
	ReplicaItem ItemKind = iota + 1
	PoisonItem
	// WatchFailureItem tells that a VM cannot watch the platform; its key is the VM.
	WatchFailureItem
)

// Item is one gossiped fact. Of two items with the same kind and key the one
// with the higher (Sequence, Origin) wins. TTL is the remaining lifetime at
// the time of sending; 0 means that the item does not expire.
type Item struct {
	Kind     ItemKind      `msgpack:"k"`
	Key      string        `msgpack:"y"`
	Origin   model.VMID    `msgpack:"o"`
	Sequence uint64        `msgpack:"n"`
	Payload  []byte        `msgpack:"p"`
	TTL      time.Duration `msgpack:"t,omitempty"`
}

// Ping asks a peer for an Ack. From carries the sender's incarnation.
type Ping struct {
	Sequence      uint64   `msgpack:"seq"`
	From          Member   `msgpack:"from"`
	ConfigVersion uint64   `msgpack:"cfg"`
	Members       []Member `msgpack:"m"`
	Items         []Item   `msgpack:"i"`
}

// Ack answers a Ping with the same sequence.
type Ack struct {
	Sequence      uint64   `msgpack:"seq"`
	From          Member   `msgpack:"from"`
	ConfigVersion uint64   `msgpack:"cfg"`
	Members       []Member `msgpack:"m"`
	Items         []Item   `msgpack:"i"`
}

// PingRequest asks a peer to ping a third VM.
type PingRequest struct {
	Sequence uint64 `msgpack:"seq"`
	From     Member `msgpack:"from"`
	Target   Member `msgpack:"target"`
}

// PingResult answers a PingRequest with the same sequence.
type PingResult struct {
	Sequence uint64     `msgpack:"seq"`
	Target   model.VMID `msgpack:"target"`
	Reached  bool       `msgpack:"reached"`
}

// SyncRequest starts a comparison of the whole state. Digest holds one hash
// for each bucket of members and items. Members and Items are the sender's
// entries in buckets that an earlier SyncReply reported as different.
type SyncRequest struct {
	From          Member   `msgpack:"from"`
	ConfigVersion uint64   `msgpack:"cfg"`
	Digest        []byte   `msgpack:"digest"`
	Members       []Member `msgpack:"m"`
	Items         []Item   `msgpack:"i"`
}

// SyncReply carries the sender's entries in buckets that differ, as many as
// fit in one chunk. Buckets lists them; More tells that others differ too.
type SyncReply struct {
	From          Member   `msgpack:"from"`
	ConfigVersion uint64   `msgpack:"cfg"`
	Buckets       []uint8  `msgpack:"b"`
	Members       []Member `msgpack:"m"`
	Items         []Item   `msgpack:"i"`
	More          bool     `msgpack:"more"`
}

// ConfigRequest asks for the manifest, and for one chunk of a section when
// Section is set.
type ConfigRequest struct {
	Version uint64 `msgpack:"version"`
	Section string `msgpack:"section"`
	Offset  int    `msgpack:"offset"`
}

// ConfigReply carries the sender's current manifest and, when a section was
// asked for and is known, the part of its body that starts at Offset.
type ConfigReply struct {
	Version  uint64            `msgpack:"version"`
	Sections map[string]string `msgpack:"sections"`
	Section  string            `msgpack:"section"`
	Offset   int               `msgpack:"offset"`
	Total    int               `msgpack:"total"`
	Body     []byte            `msgpack:"body"`
}

// StreamEnd ends a stream. The transport sends it; no handler sees it.
type StreamEnd struct{}

// Probe asks the transport at the other end to answer with ProbeReply. It
// tells a slow exchange from a silent connection.
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
