package gateway

import (
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/frontend"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
)

// Guards against a canary that spreads a request to a second group although
// the tier has reported the loss of the first upstream: the owner answers
// only after that report was acknowledged, and the canary looks slow meanwhile.
func TestCanaryStaysAloneAfterAReportedLoss(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, 4, func(_ int, x *exchange) { x.answer(nil) })
		s.view.Config.Services["search"].CanaryGroups = 1
		for i := range 100 { // teaches the gateway a short hedge delay
			_, err := s.gateway.Search(t.Context(), frontend.SearchRequest{
				Service: "search", Operation: "search", Query: []byte(strconv.Itoa(i)), Deadline: time.Now().Add(time.Second),
			})
			assert.NilError(t, err)
		}
		var firstEnded atomic.Bool
		s.forget(func(n int, x *exchange) {
			if n == 1 {
				defer firstEnded.Store(true)
				s.ledger.RecordLoss(time.Now(), "search-g0-o1", "first", []uint64{poison.Fingerprint("search", "search", []byte(`{}`))})
				time.Sleep(300 * time.Millisecond)
			}
			if n > 1 {
				assert.Check(t, firstEnded.Load(), "send %d while the lost canary was unanswered", n)
				s.ledger.RecordLoss(time.Now(), "search-g0-o2", "second", []uint64{poison.Fingerprint("search", "search", []byte(`{}`))})
			}
			x.answer(errs.Ambiguous(errs.UpstreamLost, "connection reset"))
		})
		_, err := s.search()
		assert.Assert(t, errs.Is(err, errs.Poisoned), "%v", err)
		groups := map[string]int{}
		for _, x := range s.exchanges() {
			for _, it := range items(x).Items {
				groups[string(it.Group)]++
			}
		}
		// One upstream in each of two groups, so that no group loses two.
		assert.Equal(t, len(groups), 2)
		for g, n := range groups {
			assert.Equal(t, n, 1, "%s", g)
		}
	})
}
