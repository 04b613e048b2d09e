// Package platform is the client of the platform's object API, which holds
// everything of the tier that must outlive a VM.
package platform

import (
	"context"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// Object is one stored value with the version the platform gave it.
type Object struct {
	Key     string
	Value   []byte
	Version string
}

// Condition restricts a write. The zero value writes unconditionally.
type Condition struct {
	// Match is the version that the stored object must have.
	Match string
	// Absent requires that no object is stored under the key.
	Absent bool
}

// Event reports a change of one object.
type Event struct {
	Key     string
	Version string
	Deleted bool
}

// WatchResult is the reply to a watch call. Passing Revision as after to the
// next call continues where this one ended.
type WatchResult struct {
	Revision uint64
	Events   []Event
}

// Store is the platform as the tier sees it. Every error is an
// *errs.Refusal. A write whose reply was lost fails with PlatformDown and run
// state MayHaveRun; the caller must read the object back.
type Store interface {
	// Get returns an object, or PlatformNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes an object and returns its new version, or PlatformConflict.
	Put(ctx context.Context, key string, value []byte, c Condition) (string, error)
	// Delete removes an object.
	Delete(ctx context.Context, key string, c Condition) error
	// List returns the objects whose key starts with prefix. It may lag.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until an object under prefix changed after the given
	// revision, or for timeout. It fails with PlatformWatchGap when changes
	// between after and now are no longer known.
	Watch(ctx context.Context, prefix string, after uint64, timeout time.Duration) (WatchResult, error)
	// VMs returns the platform's lagging list of live and leaving VMs.
	VMs(ctx context.Context) ([]model.VM, error)
}
