package platform_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/fake"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/platform"
)

// startPlatform starts a fake platform and a client for it.
func startPlatform(t *testing.T, c fake.PlatformConfig) (*fake.Platform, *platform.Client) {
	t.Helper()
	p := fake.NewPlatform(c)
	t.Cleanup(p.Close)
	client := platform.NewClient(platform.Config{URL: p.URL(), Token: c.Token, CallTimeout: time.Minute})
	t.Cleanup(client.Close)
	return p, client
}

// assertRefusal checks the code and the run state of an error.
func assertRefusal(t *testing.T, err error, code errs.Code, state errs.RunState) {
	t.Helper()
	assert.Assert(t, errs.Is(err, code), "%v", err)
	assert.Equal(t, errs.As(err).RunState, state)
}

// waitUntil polls a condition until it holds. Only the timeout of the test run
// limits the wait.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a call budget that allows calls beyond its burst or rate, or
// never refills.
func TestCallBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := platform.NewCallBudget(2, 3, time.Now)
		for range 3 {
			assert.NilError(t, b.Take())
		}
		err := b.Take()
		assertRefusal(t, err, errs.PlatformThrottled, errs.DidNotRun)
		assert.Equal(t, errs.As(err).RetryAfter, 500*time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		assert.NilError(t, b.Take())
		assertRefusal(t, b.Take(), errs.PlatformThrottled, errs.DidNotRun)
		time.Sleep(time.Hour)
		for range 3 {
			assert.NilError(t, b.Take())
		}
		assertRefusal(t, b.Take(), errs.PlatformThrottled, errs.DidNotRun)
	})
}

// Guards against calls beyond the call budget that still reach the platform, and
// against calls missing from the counters.
func TestCallBudgetStopsCalls(t *testing.T) {
	p := fake.NewPlatform(fake.PlatformConfig{})
	defer p.Close()
	now := time.Now()
	client := platform.NewClient(platform.Config{URL: p.URL(), CallsPerSecond: 1, BurstCalls: 2, Now: func() time.Time { return now }})
	defer client.Close()
	_, err := client.Put(t.Context(), "a", nil, platform.Condition{})
	assert.NilError(t, err)
	p.Throttle(1)
	_, err = client.Get(t.Context(), "a")
	assertRefusal(t, err, errs.PlatformThrottled, errs.DidNotRun)
	_, err = client.Put(t.Context(), "a", nil, platform.Condition{})
	assertRefusal(t, err, errs.PlatformThrottled, errs.DidNotRun)
	assert.Equal(t, p.Calls().Total(), uint64(2))
	assert.DeepEqual(t, client.Calls(), platform.CallCounts{
		Sent: map[platform.CallKind]uint64{platform.KindPut: 1, platform.KindGet: 1}, RefusedByBudget: 1, RefusedByPlatform: 1,
	})
}

// Guards against a write that took effect being reported as DidNotRun when its
// context is canceled before the delayed reply arrives.
func TestSlowReplyLeavesOutcomeUnknown(t *testing.T) {
	p, client := startPlatform(t, fake.PlatformConfig{})
	p.SetDelay(time.Hour)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		waitUntil(t, func() bool { return p.Calls().Put == 1 })
		// The watch returns once the write has taken effect.
		watcher := platform.NewClient(platform.Config{URL: p.URL()})
		defer watcher.Close()
		_, _ = watcher.Watch(t.Context(), "a", 1, time.Hour)
		cancel()
	}()
	_, err := client.Put(ctx, "a", []byte("1"), platform.Condition{})
	assertRefusal(t, err, errs.PlatformDown, errs.MayHaveRun)
	p.SetDelay(0)
	stored, err := client.Get(t.Context(), "a")
	assert.NilError(t, err)
	assert.Equal(t, string(stored.Value), "1")
}

// Guards against a write to an unreachable platform being reported as
// MayHaveRun, and against a call that never ends when the platform accepts the
// connection but never answers.
func TestUnreachableAndSilentPlatform(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	silent := platform.NewClient(platform.Config{URL: "http://" + l.Addr().String(), CallTimeout: 20 * time.Millisecond})
	_, err = silent.Put(t.Context(), "a", nil, platform.Condition{})
	assertRefusal(t, err, errs.PlatformDown, errs.MayHaveRun)
	_, err = silent.Watch(t.Context(), "a", 1, time.Millisecond)
	assertRefusal(t, err, errs.PlatformDown, errs.DidNotRun)
	assert.NilError(t, l.Close())
	_, err = silent.Put(t.Context(), "a", nil, platform.Condition{})
	assertRefusal(t, err, errs.PlatformDown, errs.DidNotRun)
	assert.Equal(t, silent.Calls().Failed, uint64(3))
}

// Guards against replies without a size limit, and against a server error of a
// write being reported as DidNotRun.
func TestBadReplies(t *testing.T) {
	status, body := http.StatusOK, ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	client := platform.NewClient(platform.Config{URL: server.URL})
	defer client.Close()
	_, err := client.Put(t.Context(), "a", nil, platform.Condition{})
	assertRefusal(t, err, errs.PlatformDown, errs.MayHaveRun)
	_, err = client.VMs(t.Context())
	assertRefusal(t, err, errs.PlatformDown, errs.DidNotRun)
	body = strings.Repeat("x", platform.MaxValueBytes+1)
	_, err = client.Get(t.Context(), "a")
	assertRefusal(t, err, errs.PlatformDown, errs.DidNotRun)
	status, body = http.StatusInternalServerError, ""
	_, err = client.Put(t.Context(), "a", nil, platform.Condition{})
	assertRefusal(t, err, errs.PlatformDown, errs.MayHaveRun)
	assertRefusal(t, client.Delete(t.Context(), "a", platform.Condition{}), errs.PlatformDown, errs.MayHaveRun)
	status = http.StatusUnauthorized
	_, err = client.Get(t.Context(), "a")
	assertRefusal(t, err, errs.Unauthorized, errs.DidNotRun)
	_, err = client.Put(t.Context(), "a", make([]byte, platform.MaxValueBytes+1), platform.Condition{})
	assertRefusal(t, err, errs.TooLarge, errs.DidNotRun)
}

// Guards against a watch that misses a change made while it waits, and against
// one that does not end when the platform goes down.
func TestWatchWaits(t *testing.T) {
	p, client := startPlatform(t, fake.PlatformConfig{Token: "secret"})
	go func() {
		waitUntil(t, func() bool { return p.Calls().Watch == 1 })
		_, _ = client.Put(t.Context(), "a/1", []byte("1"), platform.Condition{})
	}()
	watched, err := client.Watch(t.Context(), "a/", 1, time.Hour)
	assert.NilError(t, err)
	assert.Equal(t, len(watched.Events), 1)
	assert.Equal(t, watched.Events[0].Key, "a/1")
	go func() {
		waitUntil(t, func() bool { return p.Calls().Watch == 2 })
		p.SetDown(true)
	}()
	_, err = client.Watch(t.Context(), "a/", watched.Revision, time.Hour)
	assertRefusal(t, err, errs.PlatformDown, errs.DidNotRun)
}

// Guards against PutResolved reporting DidNotRun after a lost reply because a
// stale read does not show the write yet, and against the write taking effect
// twice.
func TestStaleReadLeavesOutcomeUnknown(t *testing.T) {
	p, client := startPlatform(t, fake.PlatformConfig{})
	version, err := client.Put(t.Context(), "a", []byte("old"), platform.Condition{})
	assert.NilError(t, err)
	p.SetStale(1, 0)
	p.LoseReplies(1)
	containsWrite := func(stored []byte) bool { return string(stored) == "new" }
	_, err = platform.PutResolved(t.Context(), client, "a", []byte("new"), platform.Condition{Match: version}, containsWrite)
	assertRefusal(t, err, errs.PlatformDown, errs.MayHaveRun)
	p.SetStale(0, 0)
	stored, err := client.Get(t.Context(), "a")
	assert.NilError(t, err)
	assert.Equal(t, string(stored.Value), "new")
	assert.Equal(t, stored.Version, "3")
}

// Guards against PutResolved reporting success, or writing again, when the
// object read back holds another writer's value.
func TestOtherWriterWins(t *testing.T) {
	p, client := startPlatform(t, fake.PlatformConfig{})
	containsWrite := func(stored []byte) bool { return false }
	p.LoseReplies(1)
	_, err := platform.PutResolved(t.Context(), client, "a", []byte("1"), platform.Condition{Absent: true}, containsWrite)
	assertRefusal(t, err, errs.PlatformConflict, errs.MayHaveRun)
	assert.Equal(t, p.Calls().Put, uint64(1))
}

// Guards against VMs that are dropped from the platform's list, added to it or
// given another state.
func TestVMs(t *testing.T) {
	p, client := startPlatform(t, fake.PlatformConfig{})
	live := model.VM{ID: "a", Addr: "127.0.0.1:1", Domain: "d", Region: "r"}
	leaving := model.VM{ID: "b", Addr: "127.0.0.1:2", Domain: "d", Region: "r", State: model.Leaving}
	p.SetVMs([]model.VM{live, leaving, {ID: "c", State: model.Dead}})
	p.ListLag(time.Hour)
	p.SetVMs(nil)
	vms, err := client.VMs(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, vms, []model.VM{live, leaving})
	p.ListLag(0)
	vms, err = client.VMs(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(vms), 0)
}
