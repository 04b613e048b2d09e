package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// Guards against a fit that misses a known line, or whose standard errors do
// not cover the truth. With normal errors about 95 of 100 estimates are within
// two standard errors; the bounds are 4 standard deviations of that count.
func TestFitRecoversSlopeAndError(t *testing.T) {
	const (
		intercept, slope, sigma = 7.0, 0.25, 3.0
		runs                    = 2000
	)
	sizes := []float64{10, 50, 150, 300, 500, 770, 900, 1200, 1500, 2000, 2500, 3000}
	for _, m := range []Model{Linear, NLogN, Log, Inverse} {
		rng := rand.New(rand.NewPCG(1, 2))
		exact := make([]float64, len(sizes))
		for i, x := range sizes {
			exact[i] = intercept + slope*m.scale(x)
		}
		f := NewFit(m, sizes, exact)
		assert.Assert(t, math.Abs(f.Slope-slope) < 1e-9, "%s: slope %v", m, f.Slope)
		assert.Assert(t, math.Abs(f.Intercept-intercept) < 1e-6, "%s: intercept %v", m, f.Intercept)
		assert.Assert(t, f.SlopeError < 1e-6, "%s: error %v", m, f.SlopeError)
		var covered, coveredAt int
		var estimates, sum float64
		for range runs {
			noisy := make([]float64, len(sizes))
			for i := range exact {
				noisy[i] = exact[i] + sigma*rng.NormFloat64()
			}
			f = NewFit(m, sizes, noisy)
			estimates += f.SlopeError / runs
			sum += f.Slope / runs
			if math.Abs(f.Slope-slope) < 2.23*f.SlopeError { // 95% of Student's t with 10 degrees of freedom
				covered++
			}
			value, standardError := f.At(5000)
			if math.Abs(value-intercept-slope*m.scale(5000)) < 2.23*standardError {
				coveredAt++
			}
		}
		truth := sigma / math.Sqrt(f.spread)
		assert.Assert(t, math.Abs(estimates/truth-1) < 0.05, "%s: mean error %v, true %v", m, estimates, truth)
		assert.Assert(t, math.Abs(sum-slope) < 4*truth/math.Sqrt(runs), "%s: mean slope %v", m, sum)
		assert.Assert(t, covered > runs*93/100 && covered < runs*97/100, "%s: %d of %d slopes covered", m, covered, runs)
		assert.Assert(t, coveredAt > runs*93/100 && coveredAt < runs*97/100, "%s: %d of %d values covered", m, coveredAt, runs)
	}
}

// Guards against an item that cannot run, has too few sizes for an error, or
// returns values that are not its metrics.
func TestEveryItemRunsInQuickMode(t *testing.T) {
	names := map[string]bool{}
	for _, it := range Items() {
		assert.Assert(t, !names[it.Name], "two items are named %s", it.Name)
		names[it.Name] = true
		t.Run(it.Name, func(t *testing.T) {
			assert.Assert(t, len(it.Sizes) >= minPoints && len(it.Quick) >= minPoints)
			rows, err := Run(t.Context(), it, true)
			assert.NilError(t, err)
			assert.Equal(t, len(rows), len(it.Metrics))
			for _, r := range rows {
				assert.Assert(t, r.Why != "" && r.Unit != "")
				assert.Assert(t, !math.IsNaN(r.AtTarget) && !math.IsInf(r.AtTarget, 0), "%s: %v", r.Metric, r.AtTarget)
				for i, v := range r.Values {
					assert.Assert(t, !math.IsNaN(v) && !math.IsInf(v, 0), "%s at %v: %v", r.Metric, r.Sizes[i], v)
				}
			}
		})
	}
}

// Guards against a simulation that depends on anything but its seed: counts
// from virtual time must be the same in each run.
func TestSimulationRepeats(t *testing.T) {
	for range 2 {
		a, err := measureDeath(16, QuickCheck.Virtual)
		assert.NilError(t, err)
		b, err := measureDeath(16, QuickCheck.Virtual)
		assert.NilError(t, err)
		assert.DeepEqual(t, a, b)
	}
}

func TestCommand(t *testing.T) {
	execute := func(args ...string) (string, error) {
		var out bytes.Buffer
		err := Command(&out, io.Discard).Run(context.Background(), append([]string{"capacity"}, args...))
		return out.String(), err
	}
	listed, err := execute("--list")
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(listed, "\n"), len(Items()))
	text, err := execute("--quick", "--json", "--item", "merge")
	assert.NilError(t, err)
	var rows []Row
	assert.NilError(t, json.Unmarshal([]byte(text), &rows))
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].Item, "merge")
	_, err = execute("--item", "merges")
	assert.ErrorContains(t, err, `item "merges" is unknown`)
}

// Guards against a gateway that chooses the snapshot anew for each query, and
// against one that keeps the choice of an old view. Replica knowledge is
// removed from a view, which the gateway can notice only by choosing again.
func TestQueriesShareTheChoiceOfSnapshot(t *testing.T) {
	v := viewOf(document(4, replicasPerGroup), fleetVMs(vmsFor(4)))
	source := &fixedView{}
	*source = refreshed(v)
	gw, stop := newGateway(source, &memoryOwners{shards: shardsOf(&v.Config.Services[service].ShardMaps[0])})
	defer stop()
	for range 2 {
		a, err := gw.Search(t.Context(), searchRequest(time.Minute))
		assert.NilError(t, err)
		assert.Equal(t, a.Coverage.Covered, 4)
		clear(v.Replicas)
	}
	next := *v
	source.view = &next
	_, err := gw.Search(t.Context(), searchRequest(time.Minute))
	assert.Equal(t, errs.As(err).Code, errs.NoSnapshot)
}
