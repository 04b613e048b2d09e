package node

import (
	"context"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/logging"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/platform"
)

// blockingWriter reports its first write and blocks until it is released.
type blockingWriter struct{ entered, release chan struct{} }

// Write implements io.Writer.
func (w blockingWriter) Write(p []byte) (int, error) {
	select {
	case w.entered <- struct{}{}:
	default:
	}
	<-w.release
	return len(p), nil
}

// Guards against dropped log lines that the metric does not count, or that each
// further sample counts again.
func TestSampleCountsDroppedLinesOnce(t *testing.T) {
	w := blockingWriter{make(chan struct{}, 1), make(chan struct{})}
	log, async := logging.New(w, logrus.InfoLevel, 1)
	log.Info("line")
	<-w.entered // the writer is blocked: the queue takes one more line
	for range 9 {
		log.Info("line")
	}
	scope := tally.NewTestScope("", nil)
	now := time.Now()
	s := newSampler(&Config{Self: model.VM{ID: "a"}, MetricsScope: scope, Logger: log, Store: platform.NewClient(platform.Config{})})
	for range 2 {
		s.sample(now, &model.View{PublishedAt: now.Add(-2 * time.Second)}, 3, 4)
	}
	droppedLines := scope.Snapshot().Counters()["log_lines_dropped+"].Value()
	assert.Equal(t, droppedLines, int64(async.DroppedLines()))
	assert.Equal(t, droppedLines, int64(8))
	gauges := scope.Snapshot().Gauges()
	assert.Equal(t, gauges["view_age+"].Value(), 2.0)
	assert.Equal(t, gauges["dispatch_in_flight+"].Value(), 3.0)
	assert.Equal(t, gauges["callers_in_flight+"].Value(), 4.0)
	close(w.release)
	assert.NilError(t, async.Close(context.Background()))
}
