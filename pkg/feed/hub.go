package feed

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	// heartbeatInterval is the interval between updates without changes.
	heartbeatInterval = 300 * time.Millisecond
	// maxQueuedUpdates is the number of updates that may wait for a slow
	// subscriber. When the queue overflows, the hub closes the connection, and
	// the subscriber has to subscribe again.
	maxQueuedUpdates = 64
	// maxSubscribers limits the memory for VMs that subscribe at the same time.
	// Further subscribers ask the next VM.
	maxSubscribers = 2 * vmsPerWatcher
	// writeTimeout bounds the writing of one update.
	writeTimeout = time.Second
	// maxFrameBytes bounds an update, which may hold a configuration of up to
	// 1 MB and the entries of all replicas.
	maxFrameBytes = wire.MaxTrafficFrameBytes
)

// Status describes how current a VM's copy of the store is.
type Status struct {
	// WatchingStore is true if the VM watches the store itself.
	WatchingStore bool
	// StoreUnreachable is true if the store does not answer the VM.
	StoreUnreachable bool
	// VerifiedAt is when the store last confirmed the topics whose changes are
	// urgent.
	VerifiedAt time.Time
}

// Source gives a hub access to the state of its VM.
type Source interface {
	// Status returns how current the state is.
	Status() Status
	// WithCurrentState calls register with the full state of the VM. No change
	// falls between the state and the registration: every later change reaches
	// Hub.Publish after register has returned. The result is false if the
	// state cannot be encoded or ctx has ended.
	WithCurrentState(ctx context.Context, register func(state []wire.FeedTopic)) bool
}

// Hub sends the state of its VM, and then every change, to subscribers.
type Hub struct {
	source Source
	log    logrus.FieldLogger
	// OnReport is given what subscribers report; nil ignores it. It is set before the
	// first Serve.
	OnReport func(ctx context.Context, topics []wire.FeedTopic)

	mu          sync.Mutex
	subscribers map[*subscriber]bool
}

// subscriber is another VM that receives updates.
type subscriber struct {
	updates chan []wire.FeedTopic
	// overflowed is closed when an update did not fit into the queue.
	overflowed chan struct{}
	once       sync.Once
}

// NewHub returns a hub without subscribers.
func NewHub(source Source, log logrus.FieldLogger) *Hub {
	return &Hub{source: source, log: log, subscribers: map[*subscriber]bool{}}
}

// Publish queues a change for all subscribers. It never blocks.
func (h *Hub) Publish(topic wire.FeedTopic) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.subscribers {
		select {
		case s.updates <- []wire.FeedTopic{topic}:
		default:
			s.once.Do(func() { close(s.overflowed) })
		}
	}
}

// Subscribers returns the number of subscribers.
func (h *Hub) Subscribers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.subscribers)
}

// Serve sends updates to the subscriber at the other end of a connection, which has
// sent request, until ctx ends, the connection fails, or the feed cannot be
// continued.
func (h *Hub) Serve(ctx context.Context, c net.Conn, request *wire.FeedSubscribe) {
	defer c.Close()
	status := h.source.Status()
	if !request.AcceptStale && (!status.WatchingStore || status.StoreUnreachable || h.Subscribers() >= maxSubscribers) {
		return
	}
	s := &subscriber{updates: make(chan []wire.FeedTopic, maxQueuedUpdates), overflowed: make(chan struct{})}
	registered := h.source.WithCurrentState(ctx, func(state []wire.FeedTopic) {
		s.updates <- state
		h.mu.Lock()
		h.subscribers[s] = true
		h.mu.Unlock()
	})
	if !registered {
		return
	}
	h.log.WithField("vm", request.VM).Info("feed subscriber connected")
	if h.OnReport != nil {
		go h.readReports(ctx, c) // ends with the connection
	}
	err := h.send(ctx, c, s)
	h.mu.Lock()
	delete(h.subscribers, s)
	h.mu.Unlock()
	h.log.WithFields(logrus.Fields{"vm": request.VM, "error": err}).Info("feed subscriber disconnected")
}

// readReports passes on what a subscriber reports until its connection ends.
func (h *Hub) readReports(ctx context.Context, c net.Conn) {
	_ = c.SetReadDeadline(time.Time{}) // a closed socket fails in the read
	reader := wire.NewReader(c, maxReportBytes)
	for {
		_, m, err := reader.Next()
		report, ok := m.(*wire.FeedUpdate)
		if err != nil || !ok {
			return // send notices the end of the connection
		}
		h.OnReport(ctx, report.Topics)
	}
}

// send writes the queued updates, and heartbeats while there are none.
func (h *Hub) send(ctx context.Context, c net.Conn, s *subscriber) error {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		var topics []wire.FeedTopic
		select {
		case <-ctx.Done():
			return nil
		case <-s.overflowed:
			return errs.Refuse(errs.QueueFull, "the subscriber is too slow")
		case topics = <-s.updates:
		case <-heartbeat.C:
		}
		status := h.source.Status()
		if !status.WatchingStore && topics == nil {
			return nil // a VM that does not watch the store sends its state but no lasting feed
		}
		update := &wire.FeedUpdate{StoreUnreachable: status.StoreUnreachable, SinceVerified: time.Since(status.VerifiedAt), Topics: topics}
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // a closed socket fails in the write
		if err := wire.Write(c, 0, update, maxFrameBytes); err != nil {
			return err
		}
	}
}
