// Package logging sets up the log of a process: one prefix for each part, a
// writer that never blocks traffic, and lines for decisions.
package logging

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// DefaultCapacityLines is the number of lines that wait for a slow writer. At 200
// bytes a line it bounds the memory to about 1.6 MB.
const DefaultCapacityLines = 8192

// maxBatchBytes bounds how much is handed to the writer at once.
const maxBatchBytes = 64 << 10

// maxPooledBytes keeps single long lines from staying in memory.
const maxPooledBytes = 4 << 10

// AsyncWriter is a bounded writer. Write never blocks: when the underlying writer is
// too slow, lines are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan *bytes.Buffer
	pool    sync.Pool
	dropped atomic.Uint64
	// closing ends the writing goroutine, done tells that it has ended.
	closing   chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

// NewAsyncWriter returns a writer to out that holds up to capacityLines lines, and
// starts its goroutine.
func NewAsyncWriter(out io.Writer, capacityLines int) *AsyncWriter {
	a := &AsyncWriter{
		out:     out,
		lines:   make(chan *bytes.Buffer, capacityLines),
		pool:    sync.Pool{New: func() any { return new(bytes.Buffer) }},
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go a.run()
	return a
}

// Write queues a copy of one line. It never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	b := a.pool.Get().(*bytes.Buffer)
	b.Write(line)
	a.enqueue(b)
	return len(line), nil
}

func (a *AsyncWriter) enqueue(b *bytes.Buffer) {
	select {
	case <-a.closing:
	default:
		select {
		case a.lines <- b:
			return
		default:
		}
	}
	a.dropped.Add(1)
	a.recycle(b)
}

func (a *AsyncWriter) recycle(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBytes {
		b.Reset()
		a.pool.Put(b)
	}
}

// DroppedLines returns the number of lines that were lost.
func (a *AsyncWriter) DroppedLines() uint64 { return a.dropped.Load() }

// Close writes the lines that wait and ends the goroutine. It gives up when
// ctx ends first; the lines that were still waiting are then lost.
func (a *AsyncWriter) Close(ctx context.Context) error {
	a.closeOnce.Do(func() { close(a.closing) })
	select {
	case <-a.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	var batch bytes.Buffer
	var reported uint64
	for {
		select {
		case b := <-a.lines:
			a.collect(&batch, b)
		case <-a.closing:
			if !a.collectWaiting(&batch) {
				a.reportDropped(&batch, &reported)
				_, _ = a.out.Write(batch.Bytes())
				return
			}
		}
		a.reportDropped(&batch, &reported)
		// A log that cannot be written has nowhere to report that.
		_, _ = a.out.Write(batch.Bytes())
		batch.Reset()
	}
}

// collect moves first and the lines that wait behind it to the batch.
func (a *AsyncWriter) collect(batch *bytes.Buffer, first *bytes.Buffer) {
	batch.Write(first.Bytes())
	a.recycle(first)
	a.collectWaiting(batch)
}

// collectWaiting reports whether it found any line.
func (a *AsyncWriter) collectWaiting(batch *bytes.Buffer) bool {
	found := false
	for batch.Len() < maxBatchBytes {
		select {
		case b := <-a.lines:
			batch.Write(b.Bytes())
			a.recycle(b)
			found = true
		default:
			return found
		}
	}
	return found
}

// reportDropped adds a line when lines were lost since the last report.
func (a *AsyncWriter) reportDropped(batch *bytes.Buffer, reported *uint64) {
	now := a.dropped.Load()
	if now == *reported {
		return
	}
	fmt.Fprintf(batch, "%s warning logging: dropped lines count=%d total=%d\n",
		time.Now().UTC().Format(timeFormat), now-*reported, now)
	*reported = now
}
