// Package metrics sets up the metrics of a process: a tally scope and the
// handler that Prometheus scrapes.
package metrics

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often the scope hands its values to the reporter. It
// bounds the age of a scraped value.
const reportInterval = time.Second

// LatencyBuckets are the buckets of latency histograms, from 0.25 ms to about
// 14 s. Each is 1.5 times the one before it, so a quantile is known within 50%.
var LatencyBuckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 1.5, 28)

// Metrics is the root of a process's metrics.
type Metrics struct {
	// Scope is the root scope, with the prefix "nutmeghitch".
	Scope tally.Scope
	// Handler serves /metrics.
	Handler http.Handler
	closer  io.Closer
}

// New returns the metrics of one process. They have their own registry, so
// that several VMs can run in one test process. onError is called when
// Prometheus rejects a name or a tag.
func New(tags map[string]string, onError func(error)) *Metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:      registry,
		Gatherer:        registry,
		OnRegisterError: onError,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "nutmeghitch",
		Tags:                   tags,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        sanitizeOptions(),
		DefaultBuckets:         LatencyBuckets,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// sanitizeOptions returns options that leave printable ASCII characters in tag
// values unchanged. With the defaults of tally the VM "nbo-a-1" would become
// "nbo_a_1", which matches neither the log nor the status.
func sanitizeOptions() *tally.SanitizeOptions {
	o := prometheus.DefaultSanitizerOpts
	o.ValueCharacters = tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', '~'}}}
	return &o
}

// Close reports the last values and stops the scope.
func (m *Metrics) Close() error { return m.closer.Close() }
