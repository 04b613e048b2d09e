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
	// beatEvery is the interval of updates to a subscriber while nothing
	// changes.
	beatEvery = 300 * time.Millisecond
	// queueLength is the number of updates that wait for a slow subscriber. One
	// that is slower is cut off and begins again.
	queueLength = 64
	// maxSubscribers bounds what a follower holds for subscribers that join at
	// the same moment; others ask the next VM.
	maxSubscribers = 2 * vmsPerFollower
	// writeTimeout bounds the writing of one update.
	writeTimeout = time.Second
	// helloTimeout bounds the wait for a subscriber's first message.
	helloTimeout = time.Second
	// frameLimit bounds an update: a configuration of up to 1 MB and the
	// entries of all replicas.
	frameLimit = wire.MaxTrafficFrameBytes
)

// Status tells how current the state of a hub's VM is.
type Status struct {
	// WatchingStore is true if the VM watches the store itself.
	WatchingStore bool
	// StoreUnreachable is true if the store does not answer the VM.
	StoreUnreachable bool
	// VerifiedAt is when the store last confirmed the urgent topics.
	VerifiedAt time.Time
}

// Source is the VM behind a hub.
type Source interface {
	Status() Status
	// WithCurrentState calls register with the full state of the VM. No change
	// falls between the state and the registration: every later change reaches
	// Hub.Publish after register has returned. The result is false if the
	// state cannot be encoded or ctx has ended.
	WithCurrentState(ctx context.Context, register func(state []wire.FeedTopic)) bool
}

// Hub serves subscribers.
type Hub struct {
	source Source
	log    logrus.FieldLogger

	mu   sync.Mutex
	subs map[*subscriber]bool
}

type subscriber struct {
	updates chan []wire.FeedTopic
	// slow is closed when the subscriber has lost an update.
	slow chan struct{}
	once sync.Once
}

// NewHub returns a hub without subscribers.
func NewHub(source Source, log logrus.FieldLogger) *Hub {
	return &Hub{source: source, log: log, subs: map[*subscriber]bool{}}
}

// Publish passes a change on. It never blocks.
func (h *Hub) Publish(topic wire.FeedTopic) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.subs {
		select {
		case s.updates <- []wire.FeedTopic{topic}:
		default:
			s.once.Do(func() { close(s.slow) })
		}
	}
}

// Subscribers returns the number of subscribers.
func (h *Hub) Subscribers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.subs)
}

// Serve accepts subscribers until ctx ends.
func (h *Hub) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() }) // ends Accept
	defer stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errs.Refuse(errs.PeerUnreachable, "accepting subscribers: %v", err)
		}
		running.Go(func() { h.serve(ctx, c) })
	}
}

// serve feeds one subscriber until either side ends.
func (h *Hub) serve(ctx context.Context, c net.Conn) {
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(helloTimeout)) // a closed socket fails in the read
	_, m, err := wire.NewReader(c, frameLimit).Next()
	hello, ok := m.(*wire.FeedSubscribe)
	if err != nil || !ok {
		h.log.WithField("error", err).Warn("subscriber refused")
		return
	}
	status := h.source.Status()
	if !hello.AcceptStale && (!status.WatchingStore || status.StoreUnreachable || h.Subscribers() >= maxSubscribers) {
		return
	}
	s := &subscriber{updates: make(chan []wire.FeedTopic, queueLength), slow: make(chan struct{})}
	registered := h.source.WithCurrentState(ctx, func(state []wire.FeedTopic) {
		s.updates <- state
		h.mu.Lock()
		h.subs[s] = true
		h.mu.Unlock()
	})
	if !registered {
		return
	}
	h.log.WithField("vm", hello.VM).Info("subscriber joined")
	err = h.send(ctx, c, s)
	h.mu.Lock()
	delete(h.subs, s)
	h.mu.Unlock()
	h.log.WithFields(logrus.Fields{"vm": hello.VM, "error": err}).Info("subscriber left")
}

// send writes updates, and beats while there are none.
func (h *Hub) send(ctx context.Context, c net.Conn, s *subscriber) error {
	beat := time.NewTicker(beatEvery)
	defer beat.Stop()
	for {
		var topics []wire.FeedTopic
		select {
		case <-ctx.Done():
			return nil
		case <-s.slow:
			return errs.Refuse(errs.QueueFull, "the subscriber is too slow")
		case topics = <-s.updates:
		case <-beat.C:
		}
		status := h.source.Status()
		if !status.WatchingStore && topics == nil {
			return nil // the first update is for a VM that asks once
		}
		update := &wire.FeedUpdate{StoreUnreachable: status.StoreUnreachable, SinceVerified: time.Since(status.VerifiedAt), Topics: topics}
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // a closed socket fails in the write
		if err := wire.Write(c, 0, update, frameLimit); err != nil {
			return err
		}
	}
}
