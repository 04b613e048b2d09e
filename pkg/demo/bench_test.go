package demo

import (
	"context"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/frontend"
	"github.com/nutmeghitch/nutmeghitch/pkg/workload"
)

// BenchmarkSearch measures the whole path of a search over the 15 groups of
// rostering, upstream stand-ins included, through one entry VM of five.
func BenchmarkSearch(b *testing.B) {
	cluster, err := Site(b.Context(), Config{Site: "msaada", Seed: 1, Progress: io.Discard})
	assert.NilError(b, err)
	b.Cleanup(cluster.Close)
	vm := cluster.Running()[0]
	var body func(*rand.Rand, int) []byte
	for _, r := range workload.Mix(cluster, rates) {
		if r.Service == "rostering" {
			body = r.Body
		}
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		rng := rand.New(rand.NewPCG(1, rand.Uint64()))
		for pb.Next() {
			a, err := vm.Node.Gateway().Search(context.Background(), frontend.SearchRequest{
				RequestID: "bench", Caller: "bench", Service: "rostering", Operation: "search",
				Query: body(rng, 0), Deadline: time.Now().Add(10 * time.Second),
			})
			if err != nil {
				b.Error(err)
				return
			}
			if a.Coverage.Covered != a.Coverage.Total {
				b.Errorf("covered %d of %d", a.Coverage.Covered, a.Coverage.Total)
			}
		}
	})
}
