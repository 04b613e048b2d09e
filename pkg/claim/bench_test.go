package claim

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/platform"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// benchLatency is the duration of one platform call.
const benchLatency = 2 * time.Millisecond

// runParallel runs b.N cycles, each a claim and its outcome, on the given number
// of concurrent requests.
func runParallel(b *testing.B, requests int, store *memoryStore, cycle func(i int64) error) {
	var next atomic.Int64
	var group sync.WaitGroup
	b.ResetTimer()
	for range requests {
		group.Go(func() {
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				if err := cycle(i); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	group.Wait()
	b.ReportMetric(float64(store.puts)/float64(b.N), "updates/claim")
	b.ReportMetric(float64(store.bytesWritten)/float64(b.N), "B-written/claim")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
}

// BenchmarkClaims counts the conditional updates for a claim and its outcome with
// an answer of 200 bytes. The updates of all partitions together are limited to
// the default of 300 a second, or to 1e9, which is no limit in practice.
func BenchmarkClaims(b *testing.B) {
	answer := make([]byte, 200)
	for _, requests := range []int{1, 10, 100, 1000} {
		for _, partitions := range []int{16, 64, 256} {
			for _, writesPerSecond := range []float64{DefaultWritesPerSecond, 1e9} {
				b.Run(fmt.Sprintf("group/requests=%d/partitions=%d/pace=%g", requests, partitions, writesPerSecond), func(b *testing.B) {
					store := newMemoryStore(benchLatency)
					tier := newTier(1, store, partitions)
					defer tier.close()
					s := tier.services["vm0"]
					s.config.WritesPerSecond = writesPerSecond
					runParallel(b, requests, store, func(i int64) error {
						g, _, err := s.Claim(b.Context(), request(fmt.Sprint(i), time.Minute))
						if err != nil {
							return err
						}
						return s.Record(b.Context(), g, 200, answer)
					})
				})
			}
		}
		b.Run(fmt.Sprintf("object-per-key/requests=%d", requests), func(b *testing.B) {
			store := newMemoryStore(benchLatency)
			runParallel(b, requests, store, func(i int64) error { return writeObjectPerKey(b, store, fmt.Sprint(i), answer) })
		})
	}
}

// writeObjectPerKey is the baseline for comparison: each key has its own object,
// which is created for the claim and replaced for the outcome.
func writeObjectPerKey(b *testing.B, store platform.Store, key string, answer []byte) error {
	p := NewPartition()
	p.put(Entry{KeyHash: HashKey("trips", key), Token: "0123456789abcdef", State: Claimed})
	value, err := p.Encode()
	if err != nil {
		return err
	}
	version, err := store.Put(b.Context(), "claims/key/"+key, value, platform.Condition{Absent: true})
	if err != nil {
		return err
	}
	p.put(Entry{KeyHash: HashKey("trips", key), Token: "0123456789abcdef", State: Done, Status: 200, Answer: answer})
	if value, err = p.Encode(); err != nil {
		return err
	}
	_, err = store.Put(b.Context(), "claims/key/"+key, value, platform.Condition{Match: version})
	return err
}

// BenchmarkCapacity counts the claims with outcome that fit into one partition.
func BenchmarkCapacity(b *testing.B) {
	for _, answerBytes := range []int{100, 200, 1000} {
		b.Run(fmt.Sprintf("answer=%d", answerBytes), func(b *testing.B) {
			now := time.UnixMilli(1)
			claims := 0
			for b.Loop() {
				p := NewPartition()
				for claims = 0; ; claims++ {
					op := Op{Step: wire.ClaimTake, KeyHash: fmt.Sprintf("%016d", claims), Token: fmt.Sprintf("%016d", claims), Status: 200, Answer: make([]byte, answerBytes)}
					if p.effectOf(&op, now).verdict != wire.ClaimGranted {
						break
					}
					p.put(op.newEntry(Done, now))
				}
			}
			b.ReportMetric(float64(claims), "claims/partition")
		})
	}
}
