package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
	"github.com/nutmeghitch/nutmeghitch/platform/standin"
)

const (
	// crashGap is the mean time between attempts of a request that ends each replica
	// that runs it, and crashDown how long such a replica is away.
	crashGap  = 500 * time.Millisecond
	crashDown = 1200 * time.Millisecond
	// crashContact is the time after the third crash, and after the last fault, from which
	// all VMs refuse the request, and maxLateAttempts how many more may reach replicas.
	crashContact    = 4 * time.Second
	maxLateAttempts = 3
	// lapseTime is the time after which the entry of a silent replica is removed.
	lapseTime = 1500 * time.Millisecond
	// soundTime is how long the request of some seeds succeeds before it ends replicas.
	soundTime = 2 * time.Second
)

// crashingRequest is a request that ends each replica that runs it.
type crashingRequest struct {
	mu sync.Mutex
	// crashes holds when replicas ended.
	crashes  []time.Time
	attempts int
	// soundUntil is when it begins to end them.
	soundUntil time.Time
}

// crash ends a replica, which starts again at another address. Its connections break and
// new ones are refused, or all of them fall silent. It reports whether the replica ends:
// the request may still be sound.
func (s *site) crash(r *standin.Replica, p *proxy) bool {
	now := time.Now()
	s.crashing.mu.Lock()
	sound := now.Before(s.crashing.soundUntil)
	if !sound {
		s.crashing.crashes = append(s.crashing.crashes, now)
	}
	s.crashing.mu.Unlock()
	if sound {
		return false
	}
	if s.config.Seed/2%2 == 0 {
		p.stop()
	} else {
		p.set(linkSilent)
	}
	restarted := make(chan struct{})
	time.AfterFunc(crashDown, func() {
		defer close(restarted)
		p.stop()
		p.set(linkWell)
		open, err := p.reopen()
		if err != nil {
			s.checker.breach("replica %s does not start again: %v", r.ID, err)
		}
		if open {
			r.Advertise(p.addr())
			r.Register(s.store, false)
		}
	})
	time.AfterFunc(lapseTime, func() {
		select {
		case <-restarted:
		default:
			s.store.Delete("servers", r.ID)
		}
	})
	return true
}

// sendCrashing sends one attempt of the crashing request to a VM.
func (s *site) sendCrashing(client *http.Client, v *vm, path string) string {
	s.crashing.mu.Lock()
	s.crashing.attempts++
	a := asked{id: fmt.Sprint("crash-", s.crashing.attempts), path: path + standin.CrashPath, idempotent: true, vm: v, start: time.Now()}
	if !s.soundAtFirst() {
		a.path += fmt.Sprint("?page=", s.crashing.attempts)
	}
	s.crashing.mu.Unlock()
	if s.hasTenants() {
		a.tenant = tenantName(0)
	}
	s.checker.ask(client, http.MethodGet, &a)
	return a.id
}

// playCrashing sends the crashing request to random VMs until ctx ends.
func (s *site) playCrashing(ctx context.Context, path string) {
	random := rand.New(rand.NewPCG(s.config.Seed, 8))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	if s.soundAtFirst() {
		s.crashing.mu.Lock()
		s.crashing.soundUntil = time.Now().Add(soundTime)
		s.crashing.mu.Unlock()
	}
	for ctx.Err() == nil {
		go s.sendCrashing(client, s.vms[random.IntN(len(s.vms))], path)
		wait.Sleep(ctx, crashGap/2+time.Duration(random.Int64N(int64(crashGap))))
	}
}

// soundAtFirst reports whether the request succeeds before it ends replicas. Its attempts
// are then alike; those of other seeds differ in their query strings.
func (s *site) soundAtFirst() bool { return s.config.Seed/8%2 == 1 }

// checkCrashingRequest checks, some time after the last fault, that all VMs refuse the
// crashing request if replicas have ended under it.
func (s *site) checkCrashingRequest(ctx context.Context) {
	s.crashing.mu.Lock()
	crashes := len(s.crashing.crashes)
	s.crashing.mu.Unlock()
	if crashes < 3 {
		return
	}
	wait.Sleep(ctx, crashContact)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var late []string
	for range 2 {
		for _, v := range s.vms {
			if id := s.sendCrashing(client, v, s.crashingPath()); len(s.runs.ServicesOf(id)) > 0 {
				late = append(late, id)
				wait.Sleep(ctx, 2*crashDown) // the replicas run again
			}
		}
	}
	if len(late) > maxLateAttempts {
		s.checker.breach("replicas ran %v, %s after the last fault, though %d had ended under the request", late, crashContact, crashes)
	}
}

// crashingPath returns the path of the crashing request without its end.
func (s *site) crashingPath() string {
	if s.config.Seed%2 == 0 {
		return "/read"
	}
	return "/all"
}
