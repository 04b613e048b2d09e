package wire

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/vmihailenco/msgpack/v5"
)

// ProtocolVersion is the version of the peer protocol. Both ends of a connection
// must have the same version.
const ProtocolVersion uint8 = 1

const (
	// FrameHeaderBytes is the size of a frame header: length, version, kind and
	// stream.
	FrameHeaderBytes = 14
	// MaxControlFrameBytes is the size limit of a frame on the control lane.
	MaxControlFrameBytes = 64 << 10
	// MaxTrafficFrameBytes is the size limit of a frame on the traffic lane.
	MaxTrafficFrameBytes = 4 << 20
	// MaxHandshakeFrameBytes is the size limit of a frame before authentication.
	MaxHandshakeFrameBytes = 4 << 10

	lengthFieldBytes = 4
	// maxKeptBufferBytes is the size of the largest read buffer that is reused for
	// the next frame. After one large result, a connection would otherwise hold
	// 4 MiB until it is closed.
	maxKeptBufferBytes = 64 << 10
)

// registry maps each kind to a constructor of its message type.
var registry = [256]func() Message{
	KindHello:          func() Message { return new(Hello) },
	KindProof:          func() Message { return new(Proof) },
	KindPing:           func() Message { return new(Ping) },
	KindAck:            func() Message { return new(Ack) },
	KindPingRequest:    func() Message { return new(PingRequest) },
	KindPingResult:     func() Message { return new(PingResult) },
	KindSyncRequest:    func() Message { return new(SyncRequest) },
	KindSyncReply:      func() Message { return new(SyncReply) },
	KindConfigRequest:  func() Message { return new(ConfigRequest) },
	KindConfigReply:    func() Message { return new(ConfigReply) },
	KindRelease:        func() Message { return new(Release) },
	KindSearchBatch:    func() Message { return new(SearchBatch) },
	KindSearchPartial:  func() Message { return new(SearchPartial) },
	KindCancelAttempts: func() Message { return new(CancelAttempts) },
	KindCallRequest:    func() Message { return new(CallRequest) },
	KindCallReply:      func() Message { return new(CallReply) },
	KindClaimRequest:   func() Message { return new(ClaimRequest) },
	KindClaimReply:     func() Message { return new(ClaimReply) },
	KindPoisonReport:   func() Message { return new(PoisonReport) },
	KindPoisonAck:      func() Message { return new(PoisonAck) },
	KindFailure:        func() Message { return new(Failure) },
	KindStreamEnd:      func() Message { return new(StreamEnd) },
	KindProbe:          func() Message { return new(Probe) },
	KindProbeReply:     func() Message { return new(ProbeReply) },
	KindFeedSubscribe:  func() Message { return new(FeedSubscribe) },
	KindFeedUpdate:     func() Message { return new(FeedUpdate) },
	KindRelayRequest:   func() Message { return new(RelayRequest) },
	KindRelayReply:     func() Message { return new(RelayReply) },
	KindForwardOpen:    func() Message { return new(ForwardOpen) },
	KindQuotaRequest:   func() Message { return new(QuotaRequest) },
	KindQuotaReply:     func() Message { return new(QuotaReply) },
}

// appender is an io.Writer that appends to a slice.
type appender struct{ buf []byte }

// Write implements io.Writer.
func (a *appender) Write(p []byte) (int, error) {
	a.buf = append(a.buf, p...)
	return len(p), nil
}

// WriteByte implements io.ByteWriter. Without it the encoder allocates memory for
// each single byte that it writes.
func (a *appender) WriteByte(c byte) error {
	a.buf = append(a.buf, c)
	return nil
}

// Append appends the frame of m to dst. On error it returns dst unchanged, so a
// frame is appended completely or not at all. A frame larger than maxFrameBytes
// fails with FrameTooLarge.
func Append(dst []byte, stream uint64, m Message, maxFrameBytes int) ([]byte, error) {
	var header [FrameHeaderBytes]byte
	a := appender{buf: append(dst, header[:]...)}
	enc := msgpack.GetEncoder()
	enc.Reset(&a)
	enc.UseCompactInts(true)
	err := enc.Encode(m)
	msgpack.PutEncoder(enc)
	if err != nil {
		return dst, errs.Refuse(errs.FrameMalformed, "encode kind %d: %v", m.Kind(), err)
	}
	frame := a.buf[len(dst):]
	if len(frame) > maxFrameBytes {
		return dst, errs.Refuse(errs.FrameTooLarge, "frame of kind %d has %d bytes, limit %d", m.Kind(), len(frame), maxFrameBytes)
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-lengthFieldBytes))
	frame[4] = ProtocolVersion
	frame[5] = byte(m.Kind())
	binary.BigEndian.PutUint64(frame[6:], stream)
	return a.buf, nil
}

// Write writes the frame of m with one call of w.Write.
func Write(w io.Writer, stream uint64, m Message, maxFrameBytes int) error {
	frame, err := Append(nil, stream, m, maxFrameBytes)
	if err != nil {
		return err
	}
	_, err = w.Write(frame)
	return err
}

// Reader reads and decodes frames. It must not be used concurrently.
type Reader struct {
	r             io.Reader
	maxFrameBytes int
	buf           []byte
	body          bytes.Reader
	// handshake is set if only messages of the handshake are accepted.
	handshake bool
}

// NewReader returns a Reader that rejects frames larger than
// maxFrameBytes.
func NewReader(r io.Reader, maxFrameBytes int) *Reader {
	return &Reader{r: r, maxFrameBytes: maxFrameBytes}
}

// NewHandshakeReader returns a Reader for a peer that is not authenticated yet.
// It rejects every message that does not belong to the handshake without
// decoding it.
func NewHandshakeReader(r io.Reader) *Reader {
	return &Reader{r: r, maxFrameBytes: MaxHandshakeFrameBytes, handshake: true}
}

func isHandshakeKind(k Kind) bool { return k == KindHello || k == KindProof || k == KindFailure }

// Next returns the next message and the number of its stream. It fails with
// FrameTooLarge, FrameMalformed, ProtocolMismatch or the error of the underlying
// reader.
func (r *Reader) Next() (uint64, Message, error) {
	var h [FrameHeaderBytes]byte
	if _, err := io.ReadFull(r.r, h[:]); err != nil {
		return 0, nil, err
	}
	// The version is checked first: the rest of the header may have another
	// layout in another version.
	if h[4] != ProtocolVersion {
		return 0, nil, errs.Refuse(errs.ProtocolMismatch, "peer speaks version %d, this VM %d", h[4], ProtocolVersion)
	}
	size := uint64(binary.BigEndian.Uint32(h[:])) + lengthFieldBytes
	if size < FrameHeaderBytes {
		return 0, nil, errs.Refuse(errs.FrameMalformed, "frame length %d is shorter than a header", size)
	}
	if size > uint64(r.maxFrameBytes) {
		return 0, nil, errs.Refuse(errs.FrameTooLarge, "frame of kind %d has %d bytes, limit %d", h[5], size, r.maxFrameBytes)
	}
	body, err := r.readBody(int(size) - FrameHeaderBytes)
	if err != nil {
		return 0, nil, err
	}
	m, err := r.decode(Kind(h[5]), body)
	return binary.BigEndian.Uint64(h[6:]), m, err
}

func (r *Reader) readBody(n int) ([]byte, error) {
	body := r.buf
	if n > cap(body) {
		body = make([]byte, n)
	}
	body = body[:n]
	if n <= maxKeptBufferBytes {
		r.buf = body
	}
	_, err := io.ReadFull(r.r, body)
	return body, err
}

func (r *Reader) decode(k Kind, body []byte) (Message, error) {
	construct := registry[k]
	if r.handshake && !isHandshakeKind(k) {
		return nil, errs.Refuse(errs.FrameMalformed, "kind %d before authentication", k)
	}
	if construct == nil {
		return nil, errs.Refuse(errs.FrameMalformed, "unknown kind %d", k)
	}
	if err := checkBody(body); err != nil {
		return nil, err
	}
	m := construct()
	r.body.Reset(body)
	dec := msgpack.GetDecoder()
	dec.Reset(&r.body)
	// Loose decoding returns the numbers among the values of sort keys as int64,
	// uint64 or float64, whatever width the sender encoded.
	dec.UseLooseInterfaceDecoding(true)
	err := dec.Decode(m)
	msgpack.PutDecoder(dec)
	if err != nil {
		return nil, errs.Refuse(errs.FrameMalformed, "decode kind %d: %v", k, err)
	}
	return m, nil
}
