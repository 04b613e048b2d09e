package measure

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	operators "github.com/nutmeghitch/nutmeghitch/pkg/cli"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/fake"
	"github.com/nutmeghitch/nutmeghitch/pkg/loadgen"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/testcluster"
)

// Guards against a list that lacks a scenario, and against scripts out of order.
func TestList(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, Command(&out, &out).Run(context.Background(), []string{"measure", "--list"}))
	golden.Assert(t, out.String(), "list.golden")
	for _, s := range Scenarios() {
		last := 0.0
		for _, step := range s.Script {
			assert.Assert(t, step.At >= last && step.At < 1, "%s: %s", s.Name, step.Name)
			last = step.At
		}
	}
}

// Guards against wrong arguments that are ignored.
func TestWrongUsage(t *testing.T) {
	for _, args := range [][]string{
		{"--scenario", "stedy"}, {"--site", "mars"}, {"--duration", "1s"}, {"steady"},
	} {
		var out bytes.Buffer
		c := Command(&out, &out)
		c.Writer, c.ErrWriter = &out, &out
		err := c.Run(context.Background(), append([]string{"measure"}, args...))
		assert.Assert(t, err != nil, "%v", args)
	}
	var usage *operators.UsageError
	assert.Assert(t, errors.As(validScenarios([]string{"stedy"}), &usage))
	assert.Assert(t, strings.Contains(usage.Problem, `did you mean "steady"`), usage.Problem)
}

// Guards against an exit code that hides a broken promise or punishes a
// missed target.
func TestOnlyBrokenPromisesFail(t *testing.T) {
	missed := &Result{
		Scenario: "a", Variants: []Variant{{Name: "tier"}},
		Targets:  []Target{{Name: "p99", Met: false}},
		Promises: []Promise{{Name: "held"}},
	}
	assert.NilError(t, verdictOf([]*Result{missed}))
	bad := &Result{Scenario: "b", Variants: missed.Variants, Promises: []Promise{{Name: "x", Broken: 1}}}
	assert.Assert(t, verdictOf([]*Result{missed, bad}) != nil)
	stuck := &Result{Scenario: "c", Variants: []Variant{{Figures: Figures{Failures: []string{"step"}}}}}
	assert.Assert(t, verdictOf([]*Result{stuck}) != nil)
}

// booked runs a booking with a token at an upstream and returns the executions.
func booked(t *testing.T, tokens ...string) *fake.Executions {
	e := fake.NewExecutions()
	u, err := fake.NewUpstream(fake.UpstreamConfig{
		Replica: "r", Kind: model.Lookup, Data: fake.AssistanceBookings(1, 1), Executions: e, StartWarm: true,
		Operations: map[string]model.Operation{"book": {}},
	})
	assert.NilError(t, err)
	t.Cleanup(u.Close)
	for _, token := range tokens {
		body := fmt.Sprintf(`{"request_id":"x","operation":"book","deadline_ms":10000,"payload":{"token":%q}}`, token)
		resp, err := http.Post("http://"+u.Addr()+"/run", "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	return e
}

// Guards against checks that accept a false refusal, an invented answer or a
// doubled run.
func TestBookingChecks(t *testing.T) {
	refused := loadgen.Result{Code: "overloaded", Ran: errs.DidNotRun.String()}
	unknown := loadgen.Result{Code: "outcome_unknown", Ran: errs.MayHaveRun.String()}
	answer := loadgen.Result{Body: []byte("{}")}
	once := func(token string, results ...loadgen.Result) *loadgen.Once {
		return &loadgen.Once{Service: "s", Key: token, Body: fmt.Appendf(nil, `{"token":%q}`, token), Results: results}
	}
	r := &run{
		cluster: &testcluster.Cluster{Executions: map[model.ServiceID]*fake.Executions{
			"s": booked(t, "false", "unknown", "answered", "copy", "twice", "twice"),
		}},
		report: &loadgen.Report{Once: []*loadgen.Once{
			once("true", refused, refused), once("false", refused, refused), once("unknown", unknown, refused),
			once("answered", answer), once("copy", refused, answer), once("invented", answer),
		}},
	}
	assert.DeepEqual(t, r.falseRefusals(), []string{
		"false ran, but all 2 sends were refused as not run",
		"invented was answered but never ran",
	})
	assert.DeepEqual(t, r.doubled(), []string{"s ran twice 2 times"})
}

// Guards against latencies of refused requests in the quantiles, and against
// answers after the deadline in the goodput.
func TestFiguresOfSamples(t *testing.T) {
	search := func(at, took time.Duration, code string, covered int) loadgen.Sample {
		return loadgen.Sample{At: warmUp + at, Took: took, Search: true, Code: code, Covered: covered, Total: 4, Deadline: time.Second}
	}
	refused := search(time.Second, 9*time.Second, "overloaded", 0)
	refused.Total = 0
	r := &run{duration: 10 * time.Second, report: &loadgen.Report{Samples: []loadgen.Sample{
		search(time.Second, 10*time.Millisecond, "", 4),
		search(2*time.Second, 20*time.Millisecond, "", 2),
		search(3*time.Second, 2*time.Second, "", 4),
		search(8*time.Second, 10*time.Millisecond, "", 4),
		refused,
	}}}
	early := r.samples(window{0, 0.25}, isSearch)
	assert.Equal(t, len(early), 3)
	// Histograms keep three digits.
	assert.Equal(t, math.Round(latencyOf(early).P999), 20.0)
	assert.Equal(t, coverage(early), 0.75)
	assert.DeepEqual(t, r.goodput(), []float64{0.4, 0, 0, 0.4})
	assert.Assert(t, !fullCoverage(early).Met)
	assert.Assert(t, !noneLost("lost", early).Met)
	assert.Assert(t, !r.ratioTarget("p99", window{0.25, 0.5}, window{0, 0.25}, domainFactor).Met)
}

// Guards against a plot without the marks of the script.
func TestPlotNamesMarks(t *testing.T) {
	r := &Result{
		Scenario: "vm-loss", Site: "msaada", Seed: 1, Marks: []Mark{{Seconds: 2, Name: "VM lost"}},
		points: []point{{seconds: 1, p50: 5, p99: 9, coverage: 100}, {seconds: 2, p50: 6, p99: 12, coverage: 97}},
	}
	assert.NilError(t, r.WritePlot(t.TempDir()))
	svg, err := os.ReadFile(r.Plot)
	assert.NilError(t, err)
	for _, want := range []string{"VM lost", "p99", "coverage"} {
		assert.Assert(t, bytes.Contains(svg, []byte(want)), want)
	}
}
