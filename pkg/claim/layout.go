package claim

import (
	"context"
	"encoding/json"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/platform"
)

// layoutKey names the object that fixes the number of partitions.
const layoutKey = "claims/layout"

type layout struct {
	Partitions int `json:"partitions"`
}

// layout returns the number of partitions that the platform holds. The first
// VM that claims stores the configured number. A later change of the
// configuration has no effect: under another number a key would be looked for
// in another partition, and could be claimed again.
func (s *Service) layout(ctx context.Context) (int, error) {
	if n := s.knownLayout(); n > 0 {
		return n, nil
	}
	// One request reads; the others wait for it.
	select {
	case s.reading <- struct{}{}:
		defer func() { <-s.reading }()
	case <-ctx.Done():
		return 0, errs.Refuse(errs.DeadlineExceeded, "%v", ctx.Err())
	}
	if n := s.knownLayout(); n > 0 {
		return n, nil
	}
	n, err := s.readLayout(ctx)
	if errs.Is(err, errs.PlatformNotFound) {
		n, err = s.createLayout(ctx)
	}
	if err != nil {
		return 0, err
	}
	if want := s.wantedPartitions(); n != want {
		s.config.Log.Warnf("claim: the platform holds %d partitions, the configured %d are not used", n, want)
	}
	s.mu.Lock()
	s.partitions = n
	s.mu.Unlock()
	return n, nil
}

func (s *Service) knownLayout() int {
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

// createLayout stores the layout if there is none and reads it back, which
// also resolves a lost reply and a race with another VM.
func (s *Service) createLayout(ctx context.Context) (int, error) {
	value, err := json.Marshal(layout{Partitions: s.wantedPartitions()})
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

func (s *Service) wantedPartitions() int {
	doc := s.config.View.Current().Config
	if doc == nil || doc.Tier.ClaimPartitions < 1 {
		return DefaultPartitions
	}
	return doc.Tier.ClaimPartitions
}
