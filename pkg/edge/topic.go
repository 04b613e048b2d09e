package edge

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/nutmeghitch/nutmeghitch/pkg/discovery"
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
	// single is set if the kind has one object, so that each change is a complete list.
	single bool
	// background is set for topics that a VM watches only after it has failed to
	// subscribe to a feed. Other VMs get them from their feed early enough.
	background bool
	// at is the position of the store up to which all changes are known; its revision
	// is 0 if the objects were never listed.
	at storewatch.Position
	// verifiedAt is when the store or a feed last confirmed the position.
	verifiedAt time.Time
	// unlisted holds the objects that the first list of an era lacks. They are kept
	// until unlistedUntil, so that their writers can write them again.
	unlisted      map[string]bool
	unlistedUntil time.Time
	// apply applies one object to the state, removeAbsent removes the objects that
	// a complete list does not name. Both report whether the view changes. removeAbsent
	// is nil if such objects are kept: the configuration is never removed, and crash
	// reports expire.
	apply        func(now time.Time, item storewatch.Item[T]) bool
	removeAbsent func(now time.Time, listed map[string]bool) bool
	// currentItems returns all known objects.
	currentItems func(now time.Time) []storewatch.Item[T]
	// startEra is called before the first list of an era is applied. lost is called after
	// it with the objects that it lacks and an older era had. Either may be nil.
	startEra func(now time.Time, era int64)
	lost     func(now time.Time, items []storewatch.Item[T])
	// snapshotAt returns the position of the known objects if it is not that of the
	// topic. It may be nil.
	snapshotAt func() storewatch.Position
	// acceptFeed reports whether objects of another VM are used at all. It may be nil.
	acceptFeed func(batch storewatch.Batch[T]) bool
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
	// applyFeed applies objects of another VM, to which the store had confirmed them at
	// verifiedAt, zero if that is not known.
	applyFeed(now time.Time, in wire.FeedTopic, verifiedAt time.Time) bool
	// confirm records that the store had confirmed the position at a time.
	confirm(at time.Time)
	snapshot(now time.Time) (wire.FeedTopic, error)
	// verified returns when the store or a feed last confirmed the topic, and
	// whether the topic is urgent.
	verified() (time.Time, bool)
	inBackground() bool
	// position returns the position of the store up to which all changes are known.
	position() storewatch.Position
	// publishAll sends all known objects to the subscribers of this VM's feed.
	publishAll(now time.Time)
	// removeUnlisted removes the objects that were not written again in time in a new
	// era. It reports whether the view changes.
	removeUnlisted(now time.Time) bool
}

func (t *topic[T]) topicName() string { return t.name }

func (t *topic[T]) verified() (time.Time, bool) { return t.verifiedAt, t.urgent }

func (t *topic[T]) inBackground() bool { return t.background }

func (t *topic[T]) position() storewatch.Position { return t.at }

func (t *topic[T]) publishAll(now time.Time) {
	t.publish(storewatch.Batch[T]{Position: t.at, Items: t.listedItems(now)}, true)
}

// listAndWatch implements anyTopic. It starts at the position of the topic, or with a
// list if there is none.
func (t *topic[T]) listAndWatch(ctx context.Context) {
	if after, ok := t.knownPosition(ctx); ok {
		storewatch.ListAndWatch(ctx, t.source, t.controller.storeBreaker, after, t.maxWatchWait, topicSink[T]{ctx: ctx, topic: t})
	}
}

// listOnce implements anyTopic.
func (t *topic[T]) listOnce(ctx context.Context) error {
	return storewatch.ListOnce(ctx, t.source, t.controller.storeBreaker, topicSink[T]{ctx: ctx, topic: t})
}

// check implements anyTopic.
func (t *topic[T]) check(ctx context.Context) bool {
	after, ok := t.knownPosition(ctx)
	if !ok {
		return false
	}
	if after.Revision == 0 {
		return t.listOnce(ctx) == nil
	}
	return storewatch.Check(ctx, t.source, t.controller.storeBreaker, after, topicSink[T]{ctx: ctx, topic: t})
}

// knownPosition returns the position of the topic, or false if ctx has ended.
func (t *topic[T]) knownPosition(ctx context.Context) (storewatch.Position, bool) {
	return askState(ctx, t.controller, func(*state) storewatch.Position { return t.at })
}

// update applies a batch of objects, and with full set removes all others. It
// skips what is older than the topic's position, so that a source that lags
// behind changes nothing. It reports whether the view changes.
//
// What a newer era says replaces what an older one said, whatever the revisions: the
// store has lost the changes after its copy and gives their revisions out again. Only a
// complete list can start an era.
func (t *topic[T]) update(now time.Time, batch storewatch.Batch[T], full bool) bool {
	return t.updateVerified(now, now, batch, full)
}

// updateVerified is update with objects that the store had confirmed at verifiedAt.
func (t *topic[T]) updateVerified(now, verifiedAt time.Time, batch storewatch.Batch[T], full bool) bool {
	if batch.Era == 0 {
		batch.Era = t.at.Era // a VM of an older version does not know eras
	}
	newEra := batch.Era > t.at.Era && t.at.Revision > 0
	switch {
	case batch.Era < t.at.Era, batch.Era == t.at.Era && full && batch.Revision < t.at.Revision:
		t.logIgnored("list of objects ignored: older than the known state", batch, len(batch.Items))
		return false
	case newEra && !full:
		t.logIgnored("changes ignored: the objects of their era were not listed", batch, len(batch.Items))
		return false
	}
	var known []storewatch.Item[T]
	if newEra {
		known = t.currentItems(now)
		t.controller.log.WithFields(logrus.Fields{"kind": t.name, "era": batch.Era, "before": t.at.Era, "revision": batch.Revision, "known_revision": t.at.Revision}).Warn("store has come back from an older copy")
		t.at = storewatch.Position{}
	}
	if batch.Era > t.at.Era && t.startEra != nil {
		t.startEra(now, batch.Era)
	}
	changed := t.applyItems(now, batch, full)
	if newEra {
		t.keepUnlisted(now, known, batch)
	}
	if full {
		if t.removeAbsent != nil {
			changed = t.removeAbsent(now, t.listedOrKept(batch)) || changed
		}
		t.controller.log.WithFields(logrus.Fields{"kind": t.name, "objects": len(batch.Items), "era": batch.Era, "revision": batch.Revision, "before": t.at.Revision}).Info("complete list of objects applied")
	}
	t.at = storewatch.Position{Era: batch.Era, Revision: max(t.at.Revision, batch.Revision)}
	t.confirm(verifiedAt)
	t.controller.snapshots = nil
	t.publish(batch, full || t.single)
	return changed
}

// applyItems applies the objects of a batch that are newer than the known ones. It
// reports whether the view changes.
func (t *topic[T]) applyItems(now time.Time, batch storewatch.Batch[T], full bool) bool {
	changed := false
	ignored := 0
	for _, item := range batch.Items {
		if !full && item.Revision > 0 && item.Revision <= t.at.Revision {
			ignored++
			continue
		}
		if item.Err != nil {
			t.controller.log.WithFields(logrus.Fields{"kind": t.name, "name": item.Name, "revision": item.Revision, "error": item.Err}).Warn("object cannot be decoded")
		}
		delete(t.unlisted, item.Name)
		changed = t.apply(now, item) || changed
	}
	if ignored > 0 {
		t.logIgnored("changes ignored: older than the known state", batch, ignored)
	}
	return changed
}

// keepUnlisted keeps the known objects that the first list of an era lacks.
func (t *topic[T]) keepUnlisted(now time.Time, known []storewatch.Item[T], batch storewatch.Batch[T]) {
	listed := namesOf(batch.Items)
	lost := slices.DeleteFunc(known, func(item storewatch.Item[T]) bool { return listed[item.Name] })
	if t.removeAbsent != nil {
		t.unlisted, t.unlistedUntil = namesOf(lost), now.Add(discovery.ReregistrationGracePeriod)
	}
	if len(lost) > 0 && t.lost != nil {
		t.lost(now, lost)
	}
}

// listedOrKept returns the names of the objects of a list and of those that are kept
// though it lacks them.
func (t *topic[T]) listedOrKept(batch storewatch.Batch[T]) map[string]bool {
	names := namesOf(batch.Items)
	for name := range t.unlisted {
		names[name] = true
	}
	return names
}

// removeUnlisted implements anyTopic.
func (t *topic[T]) removeUnlisted(now time.Time) bool {
	if len(t.unlisted) == 0 || now.Before(t.unlistedUntil) {
		return false
	}
	listed := t.listedItems(now)
	t.controller.log.WithFields(logrus.Fields{"kind": t.name, "objects": len(t.unlisted), "era": t.at.Era}).Info("objects were not written again in the new era: removed")
	clear(t.unlisted)
	t.controller.snapshots = nil
	return t.removeAbsent(now, namesOf(listed))
}

// listedItems returns the known objects without those that are only kept: a VM that
// learned of them from this one would believe that the store has them.
func (t *topic[T]) listedItems(now time.Time) []storewatch.Item[T] {
	return slices.DeleteFunc(t.currentItems(now), func(item storewatch.Item[T]) bool { return t.unlisted[item.Name] })
}

func namesOf[T any](items []storewatch.Item[T]) map[string]bool {
	names := make(map[string]bool, len(items))
	for _, item := range items {
		names[item.Name] = true
	}
	return names
}

// logIgnored logs that objects are not applied.
func (t *topic[T]) logIgnored(message string, batch storewatch.Batch[T], objects int) {
	t.controller.log.WithFields(logrus.Fields{
		"kind": t.name, "objects": objects, "era": batch.Era, "revision": batch.Revision, "known_era": t.at.Era, "known_revision": t.at.Revision,
	}).Info(message)
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
	at := t.at
	if t.snapshotAt != nil {
		at = t.snapshotAt()
	}
	return encodeTopic(t.name, storewatch.Batch[T]{Items: t.listedItems(now), Position: at}, true)
}

// confirm implements anyTopic.
func (t *topic[T]) confirm(at time.Time) {
	if at.After(t.verifiedAt) {
		t.verifiedAt = at
	}
}

// applyFeed implements anyTopic.
func (t *topic[T]) applyFeed(now time.Time, in wire.FeedTopic, verifiedAt time.Time) bool {
	if in.Full && in.Revision == 0 {
		return false // the other VM has not listed the objects yet
	}
	batch := storewatch.Batch[T]{Position: storewatch.Position{Era: in.Era, Revision: in.Revision}}
	for _, i := range in.Items {
		item := storewatch.Item[T]{Name: i.Name, Revision: i.Revision, Deleted: i.Gone}
		if !i.Gone {
			if err := msgpack.Unmarshal(i.Value, &item.Value); err != nil {
				item.Err = errs.Refuse(errs.FrameMalformed, "%v", err)
			}
		}
		batch.Items = append(batch.Items, item)
	}
	if t.acceptFeed != nil && !t.acceptFeed(batch) {
		return false
	}
	return t.updateVerified(now, verifiedAt, batch, in.Full)
}

// encodeTopic encodes a batch for a feed. An object that could not be decoded is
// sent as deleted.
func encodeTopic[T any](name string, batch storewatch.Batch[T], full bool) (wire.FeedTopic, error) {
	out := wire.FeedTopic{Name: name, Full: full, Era: batch.Era, Revision: batch.Revision}
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

// Cut implements storewatch.Sink.
func (s topicSink[T]) Cut(err error) {
	s.topic.controller.log.WithFields(logrus.Fields{"kind": s.topic.name, "error": err}).Info("watch was cut off, the store answers")
}

// Synced implements storewatch.Sink.
func (s topicSink[T]) Synced(at storewatch.Position) {
	s.topic.controller.post(s.ctx, func(now time.Time) bool {
		t := s.topic
		if at.Era != t.at.Era {
			return false // a feed has brought a newer era meanwhile
		}
		if at.Revision > t.at.Revision {
			t.at.Revision, t.controller.snapshots = at.Revision, nil
		}
		t.confirm(now)
		t.controller.storeCallSucceeded(now, t.name)
		return false
	})
}
