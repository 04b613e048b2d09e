package soak

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
	"github.com/nutmeghitch/nutmeghitch/platform/standin"
)

const (
	// rolloutSeconds is the duration of an order. rolloutPoll is the interval at which the
	// platform looks for the status, drainTime how long replicas that leave are kept.
	rolloutSeconds = 12
	rolloutPoll    = 20 * time.Millisecond
	drainTime      = 2 * time.Second
)

// rollOut orders a version of the single service, starts replicas of it that answer in a
// mode, and returns the state that the tier decides on, empty if it decides nothing in
// time. As on the platform, the old replicas stop at once after a success, and the new
// ones drain after a roll-back.
func (s *site) rollOut(ctx context.Context, version string, mode standin.Mode) string {
	before := len(s.replicas)
	s.store.Put("rollouts", singleService, map[string]any{"backend": singleService, "target_version": version, "duration_s": rolloutSeconds})
	for _, r := range s.replicas[:before] {
		if r.Service != singleService {
			continue
		}
		if err := s.addReplica(singleService); err != nil {
			s.checker.breach("a replica does not start: %v", err)
			return ""
		}
		added := s.replicas[len(s.replicas)-1]
		added.SetMode(mode)
		added.SetVersion(version)
		added.Register(s.store, false)
	}
	state := s.awaitRollout(ctx, version)
	leaves := func(i int) bool {
		if state == "succeeded" {
			return i < before && s.replicas[i].Service == singleService
		}
		return i >= before
	}
	if state != "succeeded" {
		for i, r := range s.replicas {
			if leaves(i) {
				r.Register(s.store, true)
			}
		}
		wait.Sleep(ctx, drainTime)
	}
	for i := len(s.replicas) - 1; i >= 0; i-- {
		if leaves(i) {
			s.store.Delete("servers", s.replicas[i].ID)
			s.links[i].close()
			s.replicas[i].Close()
			s.replicas, s.links = slices.Delete(s.replicas, i, i+1), slices.Delete(s.links, i, i+1)
		}
	}
	return state
}

// awaitRollout returns the state in which the order for a version ends.
func (s *site) awaitRollout(ctx context.Context, version string) string {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline) && wait.Sleep(ctx, rolloutPoll); {
		var status struct {
			State  string `json:"state"`
			Target string `json:"target_version"`
		}
		if json.Unmarshal(s.store.Status("rollouts", singleService), &status) == nil && status.Target == version && status.State != "running" {
			return status.State
		}
	}
	return ""
}
