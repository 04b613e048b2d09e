package capacity

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmeghitch/nutmeghitch/pkg/claim"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/placement"
)

// sharedItems measure what all VMs share in the platform.
func sharedItems() []Item {
	return []Item{{
		Name: "claims", Size: "requests at a time", Sizes: []int{64, 128, 256, 512, 1024}, Quick: []int{2, 4, 6, 8}, Target: 1024,
		Metrics: []Metric{
			{Name: "platform writes per claim and outcome", Unit: "writes", Model: Inverse, Why: "requests that wait for a partition share its write"},
			{Name: "platform reads per claim and outcome", Unit: "reads", Model: Inverse, Why: "each partition is read once"},
		},
		Measure: measureClaims,
	}}
}

const (
	// claimRounds is the number of claims that each request makes in turn.
	claimRounds = 4
	// storeLatency is the time of one platform call.
	storeLatency = 2 * time.Millisecond
	unpaced      = 1e9
)

func measureClaims(ctx context.Context, _ Effort, n int) ([]float64, error) {
	store := newStore()
	store.latency = storeLatency
	self := vmAt(0)
	v := viewOf(document(1, 1), map[model.VMID]model.VM{self.ID: self})
	s := claim.New(claim.Config{Self: self, View: refreshed(v), Store: store, Log: quiet(), Rank: placement.Rank, WritesPerSecond: unpaced})
	defer s.Close()
	var done atomic.Int64
	group, ctx := errgroup.WithContext(ctx)
	for i := range n {
		group.Go(func() error {
			for round := range claimRounds {
				deadline := time.Now().Add(time.Minute)
				g, _, err := s.Claim(ctx, claim.Request{Service: service, Key: fmt.Sprint(i, "-", round), Fingerprint: 1, Deadline: deadline})
				if err != nil {
					return err
				}
				if err := s.Record(ctx, g, 200, make([]byte, 200)); err != nil {
					return err
				}
				done.Add(1)
			}
			return nil
		})
	}
	err := group.Wait()
	claims := float64(max(1, done.Load()))
	return []float64{float64(store.puts.Load()) / claims, float64(store.gets.Load()) / claims}, err
}
