package edge

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/storewatch"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// topic is one kind of objects in the store with what this VM does about them.
// Its fields belong to the controller's goroutine.
type topic[T any] struct {
	name       string
	controller *controller
	source     storewatch.Source[T]
	// maxWatchWait bounds the wait of one watch call.
	maxWatchWait time.Duration
	// urgent topics have changes that must be in force within 3 s.
	urgent bool
	// background topics are followed only by VMs that go on following; others
	// get them from a feed in time.
	background bool
	// revision is that of the store up to which all changes are known; 0 means
	// that the objects were never listed.
	revision int64
	// verifiedAt is when the store or a feed last confirmed the revision.
	verifiedAt time.Time
	// apply takes in one object; absent the names of a complete list, so that
	// others can be removed.
	apply        func(now time.Time, item storewatch.Item[T]) bool
	removeAbsent func(now time.Time, listed map[string]bool) bool
	// currentItems returns all objects that are known.
	currentItems func(now time.Time) []storewatch.Item[T]
}

// anyTopic is a topic whatever the type of its objects.
type anyTopic interface {
	topicName() string
	listAndWatch(ctx context.Context)
	applyFeed(now time.Time, in wire.FeedTopic) bool
	snapshot(now time.Time) (wire.FeedTopic, error)
	// verified returns when the topic was last confirmed and whether its
	// changes are urgent.
	verified() (time.Time, bool)
	inBackground() bool
}

func (t *topic[T]) topicName() string { return t.name }

func (t *topic[T]) verified() (time.Time, bool) { return t.verifiedAt, t.urgent }

func (t *topic[T]) inBackground() bool { return t.background }

// listAndWatch keeps the topic in step with the store until ctx ends. It begins
// where the topic is.
func (t *topic[T]) listAndWatch(ctx context.Context) {
	from := make(chan int64, 1)
	t.controller.post(ctx, func(time.Time) bool { from <- t.revision; return false })
	select {
	case after := <-from:
		storewatch.ListAndWatch(ctx, t.source, t.controller.gate, after, t.maxWatchWait, topicSink[T]{ctx: ctx, topic: t})
	case <-ctx.Done():
	}
}

// update takes in objects; full tells that others do not exist. What is already
// known is left out, so that a source that lags behind changes nothing.
func (t *topic[T]) update(now time.Time, batch storewatch.Batch[T], full bool) bool {
	if batch.Revision < t.revision && full {
		return false
	}
	changed := false
	listed := map[string]bool{}
	for _, item := range batch.Items {
		listed[item.Name] = true
		if !full && item.Revision > 0 && item.Revision <= t.revision {
			continue
		}
		if item.Err != nil {
			t.controller.log.WithFields(logrus.Fields{"kind": t.name, "name": item.Name, "revision": item.Revision, "error": item.Err}).Warn("unreadable object")
		}
		changed = t.apply(now, item) || changed
	}
	if full {
		changed = t.removeAbsent(now, listed) || changed
		t.controller.log.WithFields(logrus.Fields{"kind": t.name, "objects": len(batch.Items), "revision": batch.Revision, "before": t.revision}).Info("listed")
	}
	t.revision = max(t.revision, batch.Revision)
	t.verifiedAt = now
	t.controller.snapshots = nil
	t.publish(batch, full)
	return changed
}

// publish passes a change on to the subscribers.
func (t *topic[T]) publish(batch storewatch.Batch[T], full bool) {
	if t.controller.hub.Subscribers() == 0 {
		return
	}
	out, err := encodeTopic(t.name, batch, full)
	if err != nil {
		t.controller.log.WithFields(logrus.Fields{"kind": t.name, "error": err}).Error("change not passed on")
		return
	}
	t.controller.hub.Publish(out)
}

// snapshot returns all objects for a new subscriber.
func (t *topic[T]) snapshot(now time.Time) (wire.FeedTopic, error) {
	return encodeTopic(t.name, storewatch.Batch[T]{Items: t.currentItems(now), Revision: t.revision}, true)
}

// applyFeed takes in what another VM passes on.
func (t *topic[T]) applyFeed(now time.Time, in wire.FeedTopic) bool {
	if in.Full && in.Revision == 0 {
		return false // the other VM has not listed the objects itself
	}
	batch := storewatch.Batch[T]{Revision: in.Revision}
	for _, i := range in.Items {
		item := storewatch.Item[T]{Name: i.Name, Revision: i.Revision, Deleted: i.Gone}
		if !i.Gone {
			if err := msgpack.Unmarshal(i.Value, &item.Value); err != nil {
				item.Err = errs.Refuse(errs.FrameMalformed, "%v", err)
			}
		}
		batch.Items = append(batch.Items, item)
	}
	return t.update(now, batch, in.Full)
}

func encodeTopic[T any](name string, batch storewatch.Batch[T], full bool) (wire.FeedTopic, error) {
	out := wire.FeedTopic{Name: name, Full: full, Revision: batch.Revision}
	for _, item := range batch.Items {
		i := wire.FeedItem{Name: item.Name, Revision: item.Revision, Gone: item.Deleted || item.Err != nil}
		if !i.Gone {
			value, err := msgpack.Marshal(item.Value)
			if err != nil {
				return wire.FeedTopic{}, errs.Refuse(errs.FrameMalformed, "%s/%s: %v", name, item.Name, err)
			}
			i.Value = value
		}
		out.Items = append(out.Items, i)
	}
	return out, nil
}

// topicSink passes what a follower learns to the controller's goroutine.
type topicSink[T any] struct {
	ctx   context.Context
	topic *topic[T]
}

// Listed implements storewatch.Sink.
func (s topicSink[T]) Listed(batch storewatch.Batch[T]) {
	s.topic.controller.post(s.ctx, func(now time.Time) bool { return s.topic.update(now, batch, true) })
}

// Changed implements storewatch.Sink.
func (s topicSink[T]) Changed(batch storewatch.Batch[T]) {
	s.topic.controller.post(s.ctx, func(now time.Time) bool { return s.topic.update(now, batch, false) })
}

// Failed implements storewatch.Sink.
func (s topicSink[T]) Failed(err error) {
	s.topic.controller.post(s.ctx, func(time.Time) bool { s.topic.controller.storeCallFailed(s.topic.name, err); return false })
}

// Synced implements storewatch.Sink.
func (s topicSink[T]) Synced(revision int64) {
	s.topic.controller.post(s.ctx, func(now time.Time) bool {
		if revision > s.topic.revision {
			s.topic.revision, s.topic.controller.snapshots = revision, nil
		}
		s.topic.verifiedAt = now
		s.topic.controller.storeCallSucceeded(now, s.topic.name)
		return false
	})
}
