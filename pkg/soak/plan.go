package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
	"github.com/nutmeghitch/nutmeghitch/platform/standin"
)

const (
	// faultMin and faultMax bound how long a fault lasts; the longer ones
	// overlap with those that follow.
	faultMin = 300 * time.Millisecond
	faultMax = 4 * time.Second
	// crashSeeds: the seeds that it divides play a crashing request besides. It has no part
	// in the drawing of faults, so that the plans of earlier seeds stay the same.
	crashSeeds = 3
	// stopGrace is the time after which a VM that stops as planned is killed.
	stopGrace = 6 * time.Second
)

// fault does harm for a time. do begins it and returns what ends it.
type fault struct {
	name string
	do   func() (end func())
}

// play draws and plays the faults of the plan, and returns when all have ended.
func (s *site) play(ctx context.Context) {
	var running sync.WaitGroup
	s.olderStore = s.store.Copy()
	if s.config.Seed%crashSeeds == 0 {
		crashing, stop := context.WithCancel(ctx)
		defer stop()
		go s.playCrashing(crashing, s.crashingPath())
	}
	for i := range s.config.Faults {
		older := s.store.Copy()
		f := s.draw()
		lasts := faultMin + time.Duration(s.random.Int64N(int64(faultMax-faultMin)))
		fmt.Fprintf(s.config.Out, "seed %d fault %d: %s for %s\n", s.config.Seed, i, f.name, lasts.Round(time.Millisecond))
		end := f.do()
		running.Go(func() {
			wait.Sleep(ctx, lasts)
			end()
		})
		s.olderStore = older
		wait.Sleep(ctx, s.config.Gap/2+time.Duration(s.random.Int64N(int64(s.config.Gap))))
	}
	running.Wait()
}

// draw returns a random fault.
func (s *site) draw() fault {
	v := s.random.IntN(len(s.vms))
	r := s.random.IntN(len(s.replicas))
	kinds := []func() fault{
		func() fault { return s.stop(s.vms[v]) },
		func() fault { return s.stop(s.vms[v]) },
		func() fault { return s.kill(s.vms[v]) },
		func() fault { return s.pause(s.vms[v]) },
		func() fault { return s.hangUp(s.vms[v]) },
		func() fault { return s.linkFault("replica "+s.replicas[r].ID, s.links[r], nil) },
		func() fault { return s.linkFault("store of "+s.vms[v].Name, s.stores[v], s.vms[v]) },
		func() fault { return s.replicaMode(s.replicas[r]) },
		func() fault { return s.replicaMode(s.replicas[r]) },
		func() fault { return s.replace(r) },
		s.storeAway, s.change, s.reshard, s.storeRestored,
		func() fault { return s.limitRequests(s.replicas[r]) },
	}
	return kinds[s.random.IntN(len(kinds))]()
}

func pick[T any](s *site, of ...T) T { return of[s.random.IntN(len(of))] }

// stop stops a VM as planned and starts it again.
func (s *site) stop(v *vm) fault {
	return fault{"planned stop of " + v.Name, func() func() {
		v.signal(syscall.SIGTERM)
		return func() { s.restart(v, v.wait(stopGrace)) }
	}}
}

func (s *site) kill(v *vm) fault {
	return fault{"kill of " + v.Name, func() func() {
		v.signal(syscall.SIGKILL)
		return func() { v.wait(stopGrace); s.restart(v, false) }
	}}
}

// restart starts a VM again unless another fault has done so.
func (s *site) restart(v *vm, killed bool) {
	if killed {
		v.disturb()
	}
	if !v.ended() {
		return
	}
	if err := v.start(); err != nil {
		s.checker.breach("%s does not start: %v", v.Name, err)
	}
}

func (s *site) pause(v *vm) fault {
	return fault{"pause of " + v.Name, func() func() {
		v.signal(syscall.SIGSTOP)
		return func() { v.signal(syscall.SIGCONT) }
	}}
}

func (s *site) hangUp(v *vm) fault {
	return fault{"hang-up of " + v.Name, func() func() {
		v.signal(syscall.SIGHUP)
		return func() {}
	}}
}

func (s *site) linkFault(name string, p *proxy, v *vm) fault {
	state := pick(s, linkSlow, linkSilent, linkOneWay, linkWell, linkEndless, linkDripping)
	return fault{fmt.Sprintf("link to %s %s, reset %t", name, state, state == linkWell), func() func() {
		if v != nil {
			v.disturb()
		}
		if state == linkWell {
			p.reset()
		}
		p.set(state)
		return func() { p.set(linkWell) }
	}}
}

func (s *site) replicaMode(r *standin.Replica) fault {
	mode := pick(s, standin.Busy, standin.Silent, standin.Reset, standin.Failing, standin.Garbled)
	return fault{fmt.Sprintf("replica %s %s", r.ID, mode), func() func() {
		r.SetMode(mode)
		return func() { r.SetMode(standin.Healthy) }
	}}
}

// replace adds a replica, drains another of its service, and ends that.
func (s *site) replace(i int) fault {
	r, p := s.replicas[i], s.links[i]
	return fault{"replacement of replica " + r.ID, func() func() {
		if err := s.addReplica(r.Service); err != nil {
			s.checker.breach("a replica does not start: %v", err)
			return func() {}
		}
		s.replicas[i], s.links[i] = s.replicas[len(s.replicas)-1], s.links[len(s.links)-1]
		s.replicas, s.links = s.replicas[:len(s.replicas)-1], s.links[:len(s.links)-1]
		r.Register(s.store, true)
		return func() {
			s.store.Delete("servers", r.ID)
			time.Sleep(faultMax) // requests under way at the replica may end
			p.close()
			r.Close()
		}
	}}
}

func (s *site) storeAway() fault {
	mode := pick(s, standin.Busy, standin.Silent, standin.Reset, standin.Healthy)
	return fault{fmt.Sprintf("store %s, writes unanswered, history forgotten", mode), func() func() {
		s.store.SetMode(mode, true)
		s.store.Compact()
		return func() { s.store.SetMode(standin.Healthy, false) }
	}}
}

// storeRestored brings the store back from the copy that was made before the fault
// before. Operators and replicas write again what they wrote since; entries of replicas
// that have left lapse.
func (s *site) storeRestored() fault {
	return fault{"store back from an older copy", func() func() {
		s.store.SetMode(standin.Reset, false)
		s.store.Restore(s.olderStore)
		s.writeConfig()
		left := map[string]bool{}
		for _, id := range s.olderStore.Names("servers") {
			left[id] = true
		}
		for _, r := range s.replicas {
			delete(left, r.ID)
			r.Register(s.store, false)
		}
		s.store.SetMode(standin.Healthy, false)
		return func() {
			for id := range left {
				s.store.Delete("servers", id)
			}
		}
	}}
}

func (s *site) limitRequests(r *standin.Replica) fault {
	return fault{"request limit of replica " + r.ID, func() func() {
		r.SetRequestLimit(1 + 20*s.random.Float64())
		return func() { r.SetRequestLimit(0) }
	}}
}

func (s *site) change() fault {
	return fault{"change of the configuration", func() func() { s.configure(); return func() {} }}
}

func (s *site) reshard() fault {
	return fault{"another set of shards", func() func() {
		s.set = 1 - s.set
		s.configure()
		return func() {}
	}}
}
