package platform

import (
	"context"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// resolveAttempts bounds the writes of one PutResolved.
const resolveAttempts = 3

// PutResolved writes like Store.Put and resolves a lost reply by reading the
// object back. same reports whether a stored value contains this write, even
// when later writes were added to it; it must not be satisfied by any other
// writer's value. A conditional write that provably has no effect yet is
// repeated, which is safe because at most one of the repeats can meet the
// condition.
//
// An error with run state DidNotRun means that the write has no effect now or
// later. With MayHaveRun the outcome stays unknown: the platform could not be
// read, or showed another writer's value.
func PutResolved(ctx context.Context, s Store, key string, value []byte, c Condition, same func(stored []byte) bool) (string, error) {
	var unresolved error
	for range resolveAttempts {
		version, err := s.Put(ctx, key, value, c)
		if err == nil {
			return version, nil
		}
		if unresolved == nil {
			unresolved = err
			if errs.As(err).RunState == errs.DidNotRun {
				return "", err
			}
		}
		stored, err := s.Get(ctx, key)
		if err == nil && same(stored.Value) {
			return stored.Version, nil
		}
		if !repeatable(c, stored, err) {
			return "", changed(unresolved, err)
		}
	}
	return "", unresolved
}

// repeatable reports whether the object read back still meets the condition of
// the write.
func repeatable(c Condition, stored Object, err error) bool {
	if c.Absent {
		return errs.Is(err, errs.PlatformNotFound)
	}
	return err == nil && c.Match != "" && stored.Version == c.Match
}

// changed returns the outcome of a write whose object could not be read back,
// or holds something else.
func changed(unresolved, readErr error) error {
	if readErr != nil && !errs.Is(readErr, errs.PlatformNotFound) {
		return unresolved
	}
	return errs.Ambiguous(errs.PlatformConflict, "object changed while the outcome was unknown: %v", unresolved)
}
