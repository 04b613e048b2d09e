// Package platform is a client for the platform's object API. The platform
// stores all state of the tier that must survive the loss of a VM.
package platform

import (
	"context"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// Object is a stored value and the version that the platform assigned to it.
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

// Store is the set of platform operations that the tier uses. Every error is an
// *errs.Refusal. A write whose reply was lost fails with PlatformDown and run
// state MayHaveRun; the caller must read the object back to learn whether the
// write took effect.
type Store interface {
	// Get returns an object. It fails with PlatformNotFound when no object is
	// stored under the key.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes an object and returns its new version. It fails with
	// PlatformConflict when the object does not meet the condition.
	Put(ctx context.Context, key string, value []byte, c Condition) (string, error)
	// Delete removes an object. It fails with PlatformConflict when the object
	// does not meet the condition.
	Delete(ctx context.Context, key string, c Condition) error
	// List returns the objects whose key starts with prefix. The result
	// may be stale.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until an object under prefix changed after the given
	// revision, or for timeout. It fails with PlatformWatchGap when the
	// platform no longer knows all changes since that revision.
	Watch(ctx context.Context, prefix string, after uint64, timeout time.Duration) (WatchResult, error)
	// VMs returns the platform's list of live and leaving VMs, which may be
	// stale.
	VMs(ctx context.Context) ([]model.VM, error)
}
