// Package logging sets up the log of a process: a formatter that starts each
// message with the part that wrote it, a writer that never blocks the
// goroutines that log, and a function that logs routing and placement
// decisions.
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

// DefaultCapacityLines is the number of lines that are queued while the
// underlying writer is slow. At 200 bytes a line they take about 1.6 MB.
const DefaultCapacityLines = 8192

// maxBatchBytes is the size at which a batch of lines goes to the underlying
// writer although more lines are queued.
const maxBatchBytes = 64 << 10

// maxPooledBytes is the largest capacity of a buffer that is reused, so that
// the buffer of one long line does not stay in memory.
const maxPooledBytes = 4 << 10

// AsyncWriter queues lines for an underlying writer. Write never blocks: when
// the queue is full, the line is dropped and counted.
type AsyncWriter struct {
	out          io.Writer
	lines        chan *bytes.Buffer
	pool         sync.Pool
	droppedLines atomic.Uint64
	// closing is closed to end the writing goroutine, done when it has ended.
	closing   chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

// NewAsyncWriter returns a writer to out that queues up to capacityLines
// lines, and starts the goroutine that writes them.
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

// Write queues a copy of one line, or drops the line when the queue is full or
// the writer was closed. It never returns an error.
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
	a.droppedLines.Add(1)
	a.returnToPool(b)
}

func (a *AsyncWriter) returnToPool(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBytes {
		b.Reset()
		a.pool.Put(b)
	}
}

// DroppedLines returns the number of lines that were dropped.
func (a *AsyncWriter) DroppedLines() uint64 { return a.droppedLines.Load() }

// Close makes the goroutine write the queued lines and end, and waits for it
// until ctx ends. When it returns the error of ctx, queued lines may be lost
// with the end of the process.
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
	var reportedLines uint64
	for {
		select {
		case b := <-a.lines:
			a.appendQueuedAfter(&batch, b)
		case <-a.closing:
			if !a.appendQueued(&batch) {
				a.reportDropped(&batch, &reportedLines)
				_, _ = a.out.Write(batch.Bytes())
				return
			}
		}
		a.reportDropped(&batch, &reportedLines)
		// A write error is ignored, because there is no other log to report
		// it to.
		_, _ = a.out.Write(batch.Bytes())
		batch.Reset()
	}
}

// appendQueuedAfter appends first, and then queued lines, to the batch.
func (a *AsyncWriter) appendQueuedAfter(batch *bytes.Buffer, first *bytes.Buffer) {
	batch.Write(first.Bytes())
	a.returnToPool(first)
	a.appendQueued(batch)
}

// appendQueued appends queued lines until the batch is full or the queue is
// empty. It reports whether there was any line.
func (a *AsyncWriter) appendQueued(batch *bytes.Buffer) bool {
	appended := false
	for batch.Len() < maxBatchBytes {
		select {
		case b := <-a.lines:
			batch.Write(b.Bytes())
			a.returnToPool(b)
			appended = true
		default:
			return appended
		}
	}
	return appended
}

// reportDropped appends a line to the batch when lines were dropped since the
// last report. reportedLines holds the total of that report.
func (a *AsyncWriter) reportDropped(batch *bytes.Buffer, reportedLines *uint64) {
	droppedLines := a.droppedLines.Load()
	if droppedLines == *reportedLines {
		return
	}
	fmt.Fprintf(batch, "%s warning logging: dropped lines count=%d total=%d\n",
		time.Now().UTC().Format(timeFormat), droppedLines-*reportedLines, droppedLines)
	*reportedLines = droppedLines
}
