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

// Guards against a second canary that is sent although the loss of the first
// canary's upstream was already reported. The owner answers only after the report
// was acknowledged, so the first canary looks slow meanwhile.
func TestNoSecondCanaryWhileReportedLossIsUnanswered(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		s := newTestTier(t, 4, func(_ int, x *scriptedStream) { x.answer(nil) })
		s.view.Config.Services["search"].CanaryGroups = 1
		for i := range 100 { // fast answers, so that the hedge delay becomes short
			_, err := s.gateway.Search(t.Context(), frontend.SearchRequest{
				Service: "search", Operation: "search", Query: []byte(strconv.Itoa(i)), Deadline: time.Now().Add(time.Second),
			})
			assert.NilError(t, err)
		}
		var firstEnded atomic.Bool
		s.setScript(func(n int, x *scriptedStream) {
			if n == 1 {
				s.ledger.RecordLoss(time.Now(), "search-g0-o1", "first", []uint64{poison.Fingerprint("search", "search", []byte(`{}`))})
				time.Sleep(300 * time.Millisecond)
				// The second canary may follow as soon as the answer is delivered,
				// before x.answer returns.
				firstEnded.Store(true)
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
		for _, x := range s.streams() {
			for _, it := range batchOf(x).Items {
				groups[string(it.Group)]++
			}
		}
		// The search was sent to one upstream in each of two groups: no group lost
		// two upstreams.
		assert.Equal(t, len(groups), 2)
		for g, n := range groups {
			assert.Equal(t, n, 1, "%s", g)
		}
	})
}
