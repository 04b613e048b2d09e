package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	_ "github.com/nutmeghitch/nutmeghitch/pkg/modeltest"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a message type whose frame decodes to another kind or to other
// field values, and against sort keys that change their type on the way.
func TestRoundTripOfEveryKind(t *testing.T) {
	for k, construct := range registry {
		if construct == nil {
			continue
		}
		m := construct()
		assert.Equal(t, m.Kind(), Kind(k))
		frame, err := Append(nil, 7, m, MaxTrafficFrameBytes)
		assert.NilError(t, err)
		stream, got, err := NewReader(bytes.NewReader(frame), MaxTrafficFrameBytes).Next()
		assert.NilError(t, err)
		assert.Equal(t, stream, uint64(7))
		assert.DeepEqual(t, got, m)
	}
	p := &SearchPartial{QueryID: "q", Rows: []Row{{Group: "g", Key: []any{int64(3), "a", 1.5}, Data: []byte("x")}}, Last: true}
	frame, err := Append(nil, 1, p, MaxTrafficFrameBytes)
	assert.NilError(t, err)
	_, got, err := NewReader(bytes.NewReader(frame), MaxTrafficFrameBytes).Next()
	assert.NilError(t, err)
	assert.DeepEqual(t, got, p)
}

// Guards against a frame header that announces a large size and makes the reader
// allocate it, and against an oversized message that is partly appended.
func TestFrameLimits(t *testing.T) {
	big := &Proof{MAC: make([]byte, MaxControlFrameBytes)}
	dst := []byte("kept")
	out, err := Append(dst, 1, big, MaxControlFrameBytes)
	assert.Assert(t, errs.Is(err, errs.FrameTooLarge))
	assert.Equal(t, string(out), "kept")
	frame, err := Append(nil, 1, big, MaxTrafficFrameBytes)
	assert.NilError(t, err)
	_, _, err = NewReader(bytes.NewReader(frame), MaxControlFrameBytes).Next()
	assert.Assert(t, errs.Is(err, errs.FrameTooLarge))
}

// Guards against a small frame that crashes the process: a list or map that
// announces four billion entries makes the decoder run out of memory, and deeply
// nested lists make it run out of stack.
func TestHostileLengths(t *testing.T) {
	nested := append([]byte("\x81\xa4rows\x91\x81\xa1k"), bytes.Repeat([]byte{0x91}, MaxControlFrameBytes/2)...)
	for _, body := range [][]byte{[]byte("\x81\xa1m\xdd\xff\xff\xff\xff"), []byte("\x81\xa1m\xdf\xff\xff\xff\xff"), append(nested, 0xc0)} {
		for _, k := range []Kind{KindPing, KindSearchPartial} {
			frame := make([]byte, FrameHeaderBytes)
			frame[4] = ProtocolVersion
			frame[5] = byte(k)
			frame = append(frame, body...)
			binary.BigEndian.PutUint32(frame, uint32(len(frame)-lengthFieldBytes))
			_, _, err := NewReader(bytes.NewReader(frame), MaxControlFrameBytes).Next()
			assert.Assert(t, errs.Is(err, errs.FrameMalformed), "%v", err)
		}
	}
}

// Guards against messages of a peer that is not authenticated reaching the
// decoder.
func TestHandshakeReaderDecodesNoOtherKind(t *testing.T) {
	frame, err := Append(nil, 0, &Ping{}, MaxHandshakeFrameBytes)
	assert.NilError(t, err)
	_, _, err = NewHandshakeReader(bytes.NewReader(frame)).Next()
	assert.Assert(t, errs.Is(err, errs.FrameMalformed))
}

// Guards against a length check that rejects a value that the encoder wrote.
func TestModelCheckAcceptsEncodedValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.SliceOfN(rapid.OneOf(
			rapid.Int64().AsAny(), rapid.Float64().AsAny(), rapid.String().AsAny(), rapid.Bool().AsAny(),
			rapid.Uint64().AsAny(), rapid.SliceOfN(rapid.Byte(), 0, 70_000).AsAny(),
			rapid.MapOfN(rapid.String(), rapid.Int().AsAny(), 0, 40).AsAny(),
		), 0, 40).Draw(t, "key")
		frame, err := Append(nil, 1, &SearchPartial{Rows: []Row{{Key: key}}}, MaxTrafficFrameBytes)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := NewReader(bytes.NewReader(frame), MaxTrafficFrameBytes).Next(); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against decoding frames of another protocol version.
func TestProtocolMismatch(t *testing.T) {
	frame, err := Append(nil, 1, &Probe{}, MaxControlFrameBytes)
	assert.NilError(t, err)
	frame[4] = ProtocolVersion + 1
	_, _, err = NewReader(bytes.NewReader(frame), MaxControlFrameBytes).Next()
	assert.Assert(t, errs.Is(err, errs.ProtocolMismatch))
}

// Guards against a panic, an error without a code or an error together with a
// message when the input is malformed.
func TestModelMalformedFrames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "body")
		frame := make([]byte, FrameHeaderBytes, FrameHeaderBytes+len(body))
		binary.BigEndian.PutUint32(frame, rapid.Uint32Range(0, 80).Draw(t, "length"))
		frame[4] = ProtocolVersion
		frame[5] = rapid.Byte().Draw(t, "kind")
		_, m, err := NewReader(bytes.NewReader(append(frame, body...)), MaxControlFrameBytes).Next()
		typed := errs.Is(err, errs.FrameMalformed) || errs.Is(err, errs.FrameTooLarge)
		short := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
		if (err == nil) != (m != nil) || (err != nil && !typed && !short) {
			t.Fatalf("message %v, error %v", m, err)
		}
	})
}

func benchmarkBatch() *SearchBatch {
	return &SearchBatch{QueryID: "7c0a1a52-90cf-4b6d-8f5e-2f2f44f0a001", Service: "assistance", Operation: "search",
		Remaining: 300 * time.Millisecond, Payload: make([]byte, 200), Limit: 20, Caller: "desk",
		Items: []SearchItem{{"g1", "r1", 1}, {"g2", "r2", 1}, {"g3", "r3", 1}, {"g4", "r4", 1}}}
}

func BenchmarkAppend(b *testing.B) {
	messages := map[string]Message{
		"ping":  &Ping{Sequence: 1, From: Member{ID: "vm-1", Addr: "10.0.0.1:7000"}, Members: make([]Member, 10)},
		"batch": benchmarkBatch(),
	}
	for name, m := range messages {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			buf := make([]byte, 0, 4096)
			for b.Loop() {
				out, err := Append(buf, 1, m, MaxTrafficFrameBytes)
				if err != nil {
					b.Fatal(err)
				}
				b.SetBytes(int64(len(out)))
			}
		})
	}
}

func BenchmarkNext(b *testing.B) {
	frame, err := Append(nil, 1, benchmarkBatch(), MaxTrafficFrameBytes)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	src := bytes.NewReader(nil)
	r := NewReader(src, MaxTrafficFrameBytes)
	for b.Loop() {
		src.Reset(frame)
		if _, _, err := r.Next(); err != nil {
			b.Fatal(err)
		}
	}
}
