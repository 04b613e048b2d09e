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

// topic applies the objects of one kind, from the store or from a feed, to the
// state and publishes changes to subscribers. Only the controller's goroutine
// uses its fields.
type topic[T any] struct {
	name       string
	controller *controller
	source     storewatch.Source[T]
	// maxWatchWait limits how long one watch call waits for changes.
	maxWatchWait time.Duration
	// urgent is set for topics whose changes must take effect within 3 s.
	urgent bool
	// background is set for topics that a VM watches only after it has failed to
	// subscribe to a feed. Other VMs get them from their feed early enough.
	background bool
	// revision is the store's revision up to which all changes are known, or 0
	// if the objects were never listed.
	revision int64
	// verifiedAt is when the store or a feed last confirmed the revision.
	verifiedAt time.Time
	// apply applies one object to the state, removeAbsent removes the objects that
	// a complete list does not name. Both report whether the view changes.
	apply        func(now time.Time, item storewatch.Item[T]) bool
	removeAbsent func(now time.Time, listed map[string]bool) bool
	// currentItems returns all known objects.
	currentItems func(now time.Time) []storewatch.Item[T]
}

// anyTopic is a topic with objects of any type.
type anyTopic interface {
	topicName() string
	// listAndWatch applies the changes in the store until ctx ends.
	listAndWatch(ctx context.Context)
	// listOnce applies all objects in the store.
	listOnce(ctx context.Context) error
	// check applies the changes in the store since the last ones, if there are any,
	// and reports whether the store answered.
	check(ctx context.Context) bool
	applyFeed(now time.Time, in wire.FeedTopic) bool
	snapshot(now time.Time) (wire.FeedTopic, error)
	// verified returns when the store or a feed last confirmed the topic, and
	// whether the topic is urgent.
	verified() (time.Time, bool)
	inBackground() bool
}

func (t *topic[T]) topicName() string { return t.name }

func (t *topic[T]) verified() (time.Time, bool) { return t.verifiedAt, t.urgent }

func (t *topic[T]) inBackground() bool { return t.background }

// listAndWatch implements anyTopic. It starts at the revision of the topic, or with a
// list if that is 0.
func (t *topic[T]) listAndWatch(ctx context.Context) {
	if after, ok := t.knownRevision(ctx); ok {
		storewatch.ListAndWatch(ctx, t.source, t.controller.storeBreaker, after, t.maxWatchWait, topicSink[T]{ctx: ctx, topic: t})
	}
}

// listOnce implements anyTopic.
func (t *topic[T]) listOnce(ctx context.Context) error {
	return storewatch.ListOnce(ctx, t.source, t.controller.storeBreaker, topicSink[T]{ctx: ctx, topic: t})
}

// check implements anyTopic.
func (t *topic[T]) check(ctx context.Context) bool {
	after, ok := t.knownRevision(ctx)
	if !ok {
		return false
	}
	if after == 0 {
		return t.listOnce(ctx) == nil
	}
	return storewatch.Check(ctx, t.source, t.controller.storeBreaker, after, topicSink[T]{ctx: ctx, topic: t})
}

// knownRevision returns the revision of the topic, or false if ctx has ended.
func (t *topic[T]) knownRevision(ctx context.Context) (int64, bool) {
	revision := make(chan int64, 1)
	t.controller.post(ctx, func(time.Time) bool { revision <- t.revision; return false })
	select {
	case after := <-revision:
		return after, true
	case <-ctx.Done():
		return 0, false
	}
}

// update applies a batch of objects, and with full set removes all others. It
// skips what is older than the topic's revision, so that a source that lags
// behind changes nothing. It reports whether the view changes.
func (t *topic[T]) update(now time.Time, batch storewatch.Batch[T], full bool) bool {
	if batch.Revision < t.revision && full {
		t.logIgnored("list of objects ignored: older than the known state", batch, len(batch.Items))
		return false
	}
	changed := false
	ignored := 0
	listed := map[string]bool{}
	for _, item := range batch.Items {
		listed[item.Name] = true
		if !full && item.Revision > 0 && item.Revision <= t.revision {
			ignored++
			continue
		}
		if item.Err != nil {
			t.controller.log.WithFields(logrus.Fields{"kind": t.name, "name": item.Name, "revision": item.Revision, "error": item.Err}).Warn("object cannot be decoded")
		}
		changed = t.apply(now, item) || changed
	}
	if full {
		changed = t.removeAbsent(now, listed) || changed
		t.controller.log.WithFields(logrus.Fields{"kind": t.name, "objects": len(batch.Items), "revision": batch.Revision, "before": t.revision}).Info("complete list of objects applied")
	}
	if ignored > 0 {
		t.logIgnored("changes ignored: older than the known state", batch, ignored)
	}
	t.revision = max(t.revision, batch.Revision)
	t.verifiedAt = now
	t.controller.snapshots = nil
	t.publish(batch, full)
	return changed
}

// logIgnored logs that objects are not applied.
func (t *topic[T]) logIgnored(message string, batch storewatch.Batch[T], objects int) {
	t.controller.log.WithFields(logrus.Fields{"kind": t.name, "objects": objects, "era": batch.Era, "revision": batch.Revision, "known_revision": t.revision}).Info(message)
}

// publish sends a change to the subscribers of this VM's feed.
func (t *topic[T]) publish(batch storewatch.Batch[T], full bool) {
	if t.controller.hub.Subscribers() == 0 {
		return
	}
	out, err := encodeTopic(t.name, batch, full)
	if err != nil {
		t.controller.log.WithFields(logrus.Fields{"kind": t.name, "error": err}).Error("change not sent to feed subscribers: encoding failed")
		return
	}
	t.controller.hub.Publish(out)
}

// snapshot returns all objects for a new subscriber.
func (t *topic[T]) snapshot(now time.Time) (wire.FeedTopic, error) {
	return encodeTopic(t.name, storewatch.Batch[T]{Items: t.currentItems(now), Revision: t.revision}, true)
}

// applyFeed applies objects that another VM has sent.
func (t *topic[T]) applyFeed(now time.Time, in wire.FeedTopic) bool {
	if in.Full && in.Revision == 0 {
		return false // the other VM has not listed the objects yet
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

// encodeTopic encodes a batch for a feed. An object that could not be decoded is
// sent as deleted.
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

// topicSink passes what package storewatch reads to the controller's
// goroutine.
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
