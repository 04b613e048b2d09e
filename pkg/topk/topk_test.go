package topk

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// sortAndTruncate is the reference for Merge: it sorts all records and returns the
// first k.
func sortAndTruncate(k int, parts [][]byte) []byte {
	var all [][]byte
	for _, p := range parts {
		for i := 0; i+RecordBytes <= len(p); i += RecordBytes {
			all = append(all, p[i:i+RecordBytes])
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(all[:min(k, len(all))], nil)
}

// Guards against losing records, dropping one of two equal records, returning records
// in the wrong order, and treating an incomplete record at the end as a record.
func TestModelMergeEqualsSortAndTruncate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := rapid.IntRange(0, 40).Draw(t, "k")
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 200), 0, 6).Draw(t, "parts")
		assert.Assert(t, bytes.Equal(Merge(k, parts), sortAndTruncate(k, parts)))
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
