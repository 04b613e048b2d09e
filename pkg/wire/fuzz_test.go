package wire

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// FuzzReader reads arbitrary bytes as the frames of another VM. It guards against a
// crash, against a frame that is accepted beyond its limit, and against a message that
// is accepted but cannot be encoded again.
func FuzzReader(f *testing.F) {
	const maxFrameBytes = 64 << 10
	for _, m := range []Message{
		&FeedSubscribe{VM: "a"},
		&FeedUpdate{Topics: []FeedTopic{{Name: "replicas", Full: true, Revision: 3, Items: []FeedItem{{Name: "i", Revision: 2, Value: []byte{1}}}}}},
		&RelayRequest{RequestID: "1", Services: []string{"a", "b"}, Left: time.Second},
		&ForwardOpen{VM: "a"},
		&QuotaRequest{VM: "a", Ask: &QuotaAsk{Tenant: "t", Rate: 0.5, Burst: 2, Count: 1}},
		&QuotaReply{Outcome: 1, Count: 1, RetryAfter: time.Second},
		&RelayReply{Records: []byte("0123456789abcdef"), Answered: []RelayAnswer{{Receipt: "r"}}, Failed: []RelayFailure{{Service: 1}}, Done: true},
	} {
		frame, err := Append(nil, 0, m, maxFrameBytes)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := NewReader(bytes.NewReader(raw), maxFrameBytes)
		for {
			stream, m, err := r.Next()
			if err != nil {
				return
			}
			_, err = Append(nil, stream, m, MaxTrafficFrameBytes)
			assert.NilError(t, err)
		}
	})
}
