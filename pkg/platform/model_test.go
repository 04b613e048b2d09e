package platform_test

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/fake"
	_ "github.com/nutmeghitch/nutmeghitch/pkg/modeltest"
	"github.com/nutmeghitch/nutmeghitch/pkg/platform"
)

// modelHistoryChanges is the number of changes that the fake platform keeps for
// watches. It is small so that watch gaps occur within one run.
const modelHistoryChanges = 6

// storeModel compares the results of the client's calls with an oracle: the
// list of all states and changes that the platform should have had.
type storeModel struct {
	platform   *fake.Platform
	client     *platform.Client
	states     []map[string]platform.Object
	changes    []platform.Event
	writeCount int
}

// current returns the oracle's current state.
func (m *storeModel) current() map[string]platform.Object { return m.states[len(m.states)-1] }

// stateBefore returns the oracle's state before the last n changes.
func (m *storeModel) stateBefore(n int) map[string]platform.Object {
	return m.states[max(0, len(m.states)-1-n)]
}

// recordChange records a change in the oracle.
func (m *storeModel) recordChange(o platform.Object, deleted bool) {
	next := maps.Clone(m.current())
	next[o.Key] = o
	if deleted {
		delete(next, o.Key)
	}
	m.states = append(m.states, next)
	m.changes = append(m.changes, platform.Event{Key: o.Key, Version: o.Version, Deleted: deleted})
}

// drawKey draws one of a few keys. One has characters that need URL escaping.
func drawKey(t *rapid.T) string {
	return rapid.SampledFrom([]string{"claims/0", "claims/1", "config/section/a@f?%", "x"}).Draw(t, "key")
}

// drawCondition draws a condition and reports whether the current object of the
// oracle meets it.
func (m *storeModel) drawCondition(t *rapid.T, key string) (platform.Condition, bool) {
	stored, exists := m.current()[key]
	switch rapid.IntRange(0, 3).Draw(t, "condition") {
	case 0:
		return platform.Condition{}, true
	case 1:
		return platform.Condition{Absent: true}, !exists
	case 2:
		return platform.Condition{Match: "999999"}, false
	default:
		return platform.Condition{Match: stored.Version}, true
	}
}

// uniqueValue returns a value that no other write uses.
func (m *storeModel) uniqueValue() []byte {
	m.writeCount++
	return fmt.Appendf(nil, "value %d", m.writeCount)
}

// put writes with Put. A write whose reply is lost must be reported as
// MayHaveRun and must have taken effect.
func (m *storeModel) put(t *rapid.T) {
	key, value := drawKey(t), m.uniqueValue()
	condition, allowed := m.drawCondition(t, key)
	lost := rapid.Bool().Draw(t, "lost")
	if lost {
		m.platform.LoseReplies(1)
	}
	version, err := m.client.Put(t.Context(), key, value, condition)
	m.platform.LoseReplies(0)
	switch {
	case !allowed:
		assert.Assert(t, errs.Is(err, errs.PlatformConflict), "%v", err)
		return
	case lost:
		assert.Assert(t, errs.Is(err, errs.PlatformDown), "%v", err)
		assert.Equal(t, errs.As(err).RunState, errs.MayHaveRun)
		stored, err := m.client.Get(t.Context(), key)
		assert.NilError(t, err)
		version = stored.Version
	default:
		assert.NilError(t, err)
	}
	m.recordChange(platform.Object{Key: key, Value: value, Version: version}, false)
}

// putResolved writes with PutResolved, which must give the same result when the
// reply is lost.
func (m *storeModel) putResolved(t *rapid.T) {
	key, value := drawKey(t), m.uniqueValue()
	condition, allowed := m.drawCondition(t, key)
	m.platform.LoseReplies(rapid.IntRange(0, 1).Draw(t, "lost"))
	containsWrite := func(stored []byte) bool { return bytes.Equal(stored, value) }
	version, err := platform.PutResolved(t.Context(), m.client, key, value, condition, containsWrite)
	m.platform.LoseReplies(0)
	if !allowed {
		assert.Assert(t, errs.Is(err, errs.PlatformConflict), "%v", err)
		assert.Equal(t, errs.As(err).RunState, errs.DidNotRun)
		return
	}
	assert.NilError(t, err)
	m.recordChange(platform.Object{Key: key, Value: value, Version: version}, false)
}

// remove deletes an object and compares the outcome with the oracle.
func (m *storeModel) remove(t *rapid.T) {
	key := drawKey(t)
	condition, allowed := m.drawCondition(t, key)
	stored, exists := m.current()[key]
	err := m.client.Delete(t.Context(), key, condition)
	switch {
	case !allowed:
		assert.Assert(t, errs.Is(err, errs.PlatformConflict), "%v", err)
	case !exists:
		assert.Assert(t, errs.Is(err, errs.PlatformNotFound), "%v", err)
	default:
		assert.NilError(t, err)
		m.recordChange(stored, true)
	}
}

// read compares a read and a list, both possibly stale, with the oracle.
func (m *storeModel) read(t *rapid.T) {
	key, lag := drawKey(t), rapid.IntRange(0, 3).Draw(t, "lag")
	m.platform.SetStale(lag, lag)
	defer m.platform.SetStale(0, 0)
	expected, exists := m.stateBefore(lag)[key]
	stored, err := m.client.Get(t.Context(), key)
	if exists {
		assert.NilError(t, err)
		assert.DeepEqual(t, stored, expected)
	} else {
		assert.Assert(t, errs.Is(err, errs.PlatformNotFound), "%v", err)
	}
	listed, err := m.client.List(t.Context(), "c")
	assert.NilError(t, err)
	var keys []string
	for key := range m.stateBefore(lag) {
		if key != "x" {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	assert.Equal(t, len(listed), len(keys))
	for i, key := range keys {
		assert.DeepEqual(t, listed[i], m.stateBefore(lag)[key])
	}
}

// watch compares the events since a past revision with the oracle.
func (m *storeModel) watch(t *rapid.T) {
	changesBack := rapid.IntRange(0, len(m.changes)).Draw(t, "back")
	start, err := m.client.Watch(t.Context(), "", 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(start.Events), len(m.current()))
	watched, err := m.client.Watch(t.Context(), "", start.Revision-uint64(changesBack), 0)
	if changesBack > modelHistoryChanges {
		assert.Assert(t, errs.Is(err, errs.PlatformWatchGap), "%v", err)
		return
	}
	assert.NilError(t, err)
	assert.Equal(t, watched.Revision, start.Revision)
	latest := map[string]platform.Event{}
	for _, e := range m.changes[len(m.changes)-changesBack:] {
		latest[e.Key] = e
	}
	assert.Equal(t, len(watched.Events), len(latest))
	for _, e := range watched.Events {
		assert.Equal(t, e.Deleted, latest[e.Key].Deleted)
		assert.Assert(t, e.Deleted || e.Version == latest[e.Key].Version)
	}
}

// outage makes calls while the platform is down. They must fail without an
// effect.
func (m *storeModel) outage(t *rapid.T) {
	m.platform.SetDown(true)
	key, value := drawKey(t), m.uniqueValue()
	containsWrite := func(stored []byte) bool { return bytes.Equal(stored, value) }
	_, err := platform.PutResolved(t.Context(), m.client, key, value, platform.Condition{}, containsWrite)
	assert.Assert(t, errs.Is(err, errs.PlatformDown), "%v", err)
	_, err = m.client.Get(t.Context(), key)
	assert.Assert(t, errs.Is(err, errs.PlatformDown), "%v", err)
	m.client.Close()
	m.platform.SetDown(false)
}

// Guards against lost updates, conflicts reported without a cause, writes that
// take effect during an outage, missed watch events, and PutResolved failing
// because of a lost reply.
func TestStoreModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := fake.NewPlatform(fake.PlatformConfig{History: modelHistoryChanges})
		defer p.Close()
		m := &storeModel{
			platform: p,
			client:   platform.NewClient(platform.Config{URL: p.URL(), CallTimeout: time.Minute}),
			states:   []map[string]platform.Object{{}},
		}
		defer m.client.Close()
		t.Repeat(map[string]func(*rapid.T){
			"put": m.put, "putResolved": m.putResolved, "remove": m.remove,
			"read": m.read, "watch": m.watch, "outage": m.outage,
		})
	})
}
