package logging

import (
	"bytes"
	"context"
	"io"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// blockedWriter blocks every Write until release is closed. It closes entered
// at the first Write.
type blockedWriter struct {
	bytes.Buffer
	entered, release chan struct{}
	once             sync.Once
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	w.once.Do(func() { close(w.entered) })
	<-w.release
	return w.Buffer.Write(p)
}

// Guards against a log call that blocks while the underlying writer is blocked,
// and against lines that are dropped without being counted.
func TestBlockedWriterDropsAndCountsLines(t *testing.T) {
	w := &blockedWriter{entered: make(chan struct{}), release: make(chan struct{})}
	log, async := New(w, logrus.InfoLevel, 4)
	ForPart(log, "gateway").Info("first")
	<-w.entered
	for range 10 {
		ForPart(log, "gateway").Info("more")
	}
	assert.Equal(t, async.DroppedLines(), uint64(6))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.ErrorIs(t, async.Close(ctx), context.Canceled)
	close(w.release)
	assert.NilError(t, async.Close(context.Background()))
	assert.Equal(t, strings.Count(w.String(), "gateway: more\n"), 4)
	assert.Assert(t, strings.Contains(w.String(), "logging: dropped lines count=6 total=6\n"))
}

// Guards against a changed line format, a decision line that Decision writes
// in another format than the Formatter, and a caller's text that forges a line.
func TestLineFormat(t *testing.T) {
	var out bytes.Buffer
	log, async := New(&out, logrus.InfoLevel, 16)
	gateway := ForPart(log, "gateway")
	gateway.WithField("service", "billing").Warn("upstream lost")
	gateway.Info("bad\n2026 forged")
	Decision(gateway, "q 1\n", "r1", "nearest")
	Decision(gateway.WithField("zone", "a"), "q 1\n", "r1", "nearest")
	gateway.Info("gateway: named twice")
	gateway.Debug("hidden")
	assert.NilError(t, async.Close(context.Background()))
	times := regexp.MustCompile(`(?m)^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z `)
	assert.Equal(t, times.ReplaceAllString(out.String(), ""), strings.Join([]string{
		`warning gateway: upstream lost service=billing`,
		`info gateway: bad\n2026 forged`,
		`info gateway: made a routing or placement decision choice=r1 query="q 1\n" reason=nearest`,
		`info gateway: made a routing or placement decision choice=r1 query="q 1\n" reason=nearest zone=a`,
		`info gateway: named twice`,
		"",
	}, "\n"))
	gateway.Info("late")
	assert.Equal(t, async.DroppedLines(), uint64(1))
}

func BenchmarkDecision(b *testing.B) {
	log, _ := New(io.Discard, logrus.InfoLevel, DefaultCapacityLines)
	part := ForPart(log, "gateway")
	b.ReportAllocs()
	for b.Loop() {
		Decision(part, "0192f1c0-5a7e", "assistance-search-g01-r1", "lower expected completion")
	}
}

func BenchmarkFields(b *testing.B) {
	log, _ := New(io.Discard, logrus.InfoLevel, DefaultCapacityLines)
	part := ForPart(log, "gateway")
	b.ReportAllocs()
	for b.Loop() {
		part.WithFields(logrus.Fields{"query": "0192f1c0-5a7e", "choice": "assistance-search-g01-r1", "reason": "lower expected completion"}).Info("made a routing or placement decision")
	}
}
