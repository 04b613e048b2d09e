package claim

import (
	"context"
	"encoding/json"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/platform"
)

// layoutKey is the key of the platform object that fixes the number of partitions.
const layoutKey = "claims/layout"

// layout is the content of the object at layoutKey.
type layout struct {
	Partitions int `json:"partitions"`
}

// partitionCount returns the number of partitions that is stored on the platform.
// The first VM that takes a claim stores the configured number. A later change of
// the configuration has no effect: with another number a key would be looked up
// in another partition and could be claimed again.
func (s *Service) partitionCount(ctx context.Context) (int, error) {
	if n := s.cachedPartitionCount(); n > 0 {
		return n, nil
	}
	// One request reads the layout while the others wait.
	select {
	case s.layoutSemaphore <- struct{}{}:
		defer func() { <-s.layoutSemaphore }()
	case <-ctx.Done():
		return 0, errs.Refuse(errs.DeadlineExceeded, "%v", ctx.Err())
	}
	if n := s.cachedPartitionCount(); n > 0 {
		return n, nil
	}
	n, err := s.readLayout(ctx)
	if errs.Is(err, errs.PlatformNotFound) {
		n, err = s.createLayout(ctx)
	}
	if err != nil {
		return 0, err
	}
	if want := s.configuredPartitions(); n != want {
		s.config.Log.Warnf("claims use the %d partitions stored on the platform, the configured number %d is ignored", n, want)
	}
	s.mu.Lock()
	s.partitions = n
	s.mu.Unlock()
	return n, nil
}

// cachedPartitionCount returns the number of partitions, or 0 if the layout has not
// been read yet.
func (s *Service) cachedPartitionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partitions
}

func (s *Service) readLayout(ctx context.Context) (int, error) {
	o, err := s.config.Store.Get(ctx, layoutKey)
	if err != nil {
		return 0, err
	}
	var l layout
	if err := json.Unmarshal(o.Value, &l); err != nil || l.Partitions < 1 {
		return 0, errs.Refuse(errs.ClaimUnavailable, "object %s is not a layout", layoutKey)
	}
	return l.Partitions, nil
}

// createLayout stores the layout unless one exists, and reads it back. The read
// gives the valid number also after a lost reply or a race with another VM.
func (s *Service) createLayout(ctx context.Context) (int, error) {
	value, err := json.Marshal(layout{Partitions: s.configuredPartitions()})
	if err != nil {
		return 0, errs.Refuse(errs.Internal, "encode layout: %v", err)
	}
	_, putErr := s.config.Store.Put(ctx, layoutKey, value, platform.Condition{Absent: true})
	n, err := s.readLayout(ctx)
	if errs.Is(err, errs.PlatformNotFound) && putErr != nil {
		return 0, putErr
	}
	return n, err
}

// configuredPartitions returns the number of partitions in the configuration, or
// its default.
func (s *Service) configuredPartitions() int {
	doc := s.config.View.Current().Config
	if doc == nil || doc.Tier.ClaimPartitions < 1 {
		return DefaultPartitions
	}
	return doc.Tier.ClaimPartitions
}
