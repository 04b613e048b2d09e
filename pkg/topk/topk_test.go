package topk

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// oracle sorts everything and cuts.
func oracle(k int, parts [][]byte) []byte {
	var all [][]byte
	for _, p := range parts {
		for i := 0; i+RecordSize <= len(p); i += RecordSize {
			all = append(all, p[i:i+RecordSize])
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(all[:min(k, len(all))], nil)
}

// Guards against records that are lost, counted once though they are equal, or
// in the wrong order, and against a remainder that is taken for a record.
func TestModelMergeEqualsSortingEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := rapid.IntRange(0, 40).Draw(t, "k")
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 200), 0, 6).Draw(t, "parts")
		assert.Assert(t, bytes.Equal(Merge(k, parts), oracle(k, parts)))
	})
}

func BenchmarkMerge(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	parts := make([][]byte, 10)
	for i := range parts {
		parts[i] = make([]byte, 1000)
		for j := range parts[i] {
			parts[i][j] = byte(random.Uint32())
		}
	}
	for b.Loop() {
		Merge(50, parts)
	}
}
