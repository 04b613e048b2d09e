package capacity

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/platform"
)

// store is a platform in memory that counts calls.
type store struct {
	latency time.Duration
	vms     []model.VM

	puts, gets atomic.Int64
	mu         sync.Mutex
	version    int
	objects    map[string]platform.Object
}

func newStore() *store { return &store{objects: map[string]platform.Object{}} }

// Get implements platform.Store.
func (s *store) Get(_ context.Context, key string) (platform.Object, error) {
	time.Sleep(s.latency)
	s.gets.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return o, errs.Refuse(errs.PlatformNotFound, "no object %s", key)
	}
	return o, nil
}

// Put implements platform.Store.
func (s *store) Put(_ context.Context, key string, value []byte, c platform.Condition) (string, error) {
	time.Sleep(s.latency)
	s.puts.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if (c.Absent && ok) || (c.Match != "" && c.Match != o.Version) {
		return "", errs.Refuse(errs.PlatformConflict, "version is %s", o.Version)
	}
	s.version++
	version := strconv.Itoa(s.version)
	s.objects[key] = platform.Object{Key: key, Value: value, Version: version}
	return version, nil
}

// Delete implements platform.Store.
func (s *store) Delete(_ context.Context, key string, _ platform.Condition) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, key)
	return nil
}

// List implements platform.Store.
func (s *store) List(_ context.Context, prefix string) ([]platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []platform.Object
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			list = append(list, o)
		}
	}
	return list, nil
}

// Watch implements platform.Store. Nothing changes during a measurement.
func (s *store) Watch(ctx context.Context, _ string, after uint64, timeout time.Duration) (platform.WatchResult, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-timer.C:
		return platform.WatchResult{Revision: after}, nil
	case <-ctx.Done():
		return platform.WatchResult{}, errs.Refuse(errs.PlatformDown, "%v", ctx.Err())
	}
}

// VMs implements platform.Store.
func (s *store) VMs(context.Context) ([]model.VM, error) { return s.vms, nil }
