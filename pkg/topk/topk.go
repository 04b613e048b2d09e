// Package topk selects the greatest records of several lists of records.
package topk

import (
	"bytes"
	"container/heap"
	"slices"
)

// RecordBytes is the length of a record.
const RecordBytes = 16

// Record is a record of a fixed size. Records are ordered lexicographically by byte.
type Record [RecordBytes]byte

func compare(a, b Record) int { return bytes.Compare(a[:], b[:]) }

// minHeap is a heap.Interface with the smallest record at the root.
type minHeap []Record

func (h minHeap) Len() int           { return len(h) }
func (h minHeap) Less(i, j int) bool { return compare(h[i], h[j]) < 0 }
func (h minHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *minHeap) Push(x any)        { *h = append(*h, x.(Record)) }
func (h *minHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// Merge returns the k greatest records of all parts as one byte slice, greatest
// first. Each part is a concatenation of records in any order. Equal records are
// all kept. A remainder of a part that is shorter than a record is ignored.
func Merge(k int, parts [][]byte) []byte {
	var greatest minHeap
	for _, part := range parts {
		for ; len(part) >= RecordBytes; part = part[RecordBytes:] {
			r := Record(part[:RecordBytes])
			switch {
			case len(greatest) < k:
				heap.Push(&greatest, r)
			case k > 0 && compare(r, greatest[0]) > 0:
				greatest[0] = r
				heap.Fix(&greatest, 0)
			}
		}
	}
	slices.SortFunc(greatest, func(a, b Record) int { return compare(b, a) })
	out := make([]byte, 0, len(greatest)*RecordBytes)
	for _, r := range greatest {
		out = append(out, r[:]...)
	}
	return out
}
