package platform

import (
	"context"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// maxPutAttempts limits the writes that one PutResolved makes.
const maxPutAttempts = 3

// PutResolved writes like Store.Put. When the outcome of the write is unknown,
// for example because the reply was lost, it reads the object back.
//
// containsWrite reports whether a stored value contains this write, even when
// later writes were added to it. It must return false for a value that only
// other writers have written.
//
// A conditional write is repeated while the object read back still meets its
// condition, which shows that the write has no effect yet. Repeating is safe
// because at most one of the attempts can meet the condition.
//
// An error with run state DidNotRun means that the write has no effect now or
// later. With MayHaveRun the outcome stays unknown: the object could not be
// read back, or holds another writer's value.
func PutResolved(ctx context.Context, s Store, key string, value []byte, c Condition, containsWrite func(stored []byte) bool) (string, error) {
	var putErr error // of the first attempt
	for range maxPutAttempts {
		version, err := s.Put(ctx, key, value, c)
		if err == nil {
			return version, nil
		}
		if putErr == nil {
			putErr = err
			if errs.As(err).RunState == errs.DidNotRun {
				return "", err
			}
		}
		stored, err := s.Get(ctx, key)
		if err == nil && containsWrite(stored.Value) {
			return stored.Version, nil
		}
		if !conditionHolds(c, stored, err) {
			return "", unresolvedError(putErr, err)
		}
	}
	return "", putErr
}

// conditionHolds reports whether the object read back still meets the condition
// of the write.
func conditionHolds(c Condition, stored Object, err error) bool {
	if c.Absent {
		return errs.Is(err, errs.PlatformNotFound)
	}
	return err == nil && c.Match != "" && stored.Version == c.Match
}

// unresolvedError returns the error for a write that failed with putErr and
// whose object could not be read back or holds another value.
func unresolvedError(putErr, readErr error) error {
	if readErr != nil && !errs.Is(readErr, errs.PlatformNotFound) {
		return putErr
	}
	return errs.Ambiguous(errs.PlatformConflict, "object changed while the outcome was unknown: %v", putErr)
}
