// Package topk merges the greatest records of many parts.
package topk

import (
	"bytes"
	"container/heap"
	"slices"
)

// RecordSize is the size of a record in bytes.
const RecordSize = 16

// Record is one record; records are ordered byte by byte.
type Record [RecordSize]byte

func compare(a, b Record) int { return bytes.Compare(a[:], b[:]) }

// smallest is a heap with the smallest record on top.
type smallest []Record

func (h smallest) Len() int           { return len(h) }
func (h smallest) Less(i, j int) bool { return compare(h[i], h[j]) < 0 }
func (h smallest) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *smallest) Push(x any)        { *h = append(*h, x.(Record)) }
func (h *smallest) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// Merge returns the k greatest records of all parts, greatest first, one after
// the other. Equal records all count. A remainder shorter than a record is
// left out.
func Merge(k int, parts [][]byte) []byte {
	var best smallest
	for _, part := range parts {
		for ; len(part) >= RecordSize; part = part[RecordSize:] {
			r := Record(part[:RecordSize])
			switch {
			case len(best) < k:
				heap.Push(&best, r)
			case k > 0 && compare(r, best[0]) > 0:
				best[0] = r
				heap.Fix(&best, 0)
			}
		}
	}
	slices.SortFunc(best, func(a, b Record) int { return compare(b, a) })
	out := make([]byte, 0, len(best)*RecordSize)
	for _, r := range best {
		out = append(out, r[:]...)
	}
	return out
}
