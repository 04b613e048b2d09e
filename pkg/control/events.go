package control

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/confsync"
	"github.com/nutmeghitch/nutmeghitch/pkg/membership"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

const (
	manifestObject = "config/manifest"
	sectionPrefix  = "config/section/"
	// watchTimeout is the length of one watch call.
	watchTimeout = 30 * time.Second
	// storeTimeout bounds other calls to the platform.
	storeTimeout = 5 * time.Second
	// vmsEvery is the interval of reading the VM list: 50 of the platform's
	// 2,000 reads a second at 1,500 VMs. A VM that has not joined asks sooner.
	vmsEvery   = 30 * time.Second
	vmsJoining = 2 * time.Second
)

// event is an input of the control goroutine.
type event interface{ apply(s *state, now time.Time) }

type received struct {
	from    model.VMID
	message wire.Message
	reply   func(wire.Message) error
}

type ticked struct{}

type seen struct{ status model.ReplicaStatus }

type released struct{ replica model.ReplicaID }

type leave struct{ done chan struct{} }

type poisoned struct {
	entry model.PoisonEntry
	done  chan struct{}
}

type manifestRead struct {
	manifest confsync.Manifest
	err      error
}

type sectionRead struct {
	hash string
	body []byte
	err  error
}

type watched struct {
	revision uint64
	changed  bool
	err      error
}

type vmsRead struct {
	vms []model.VM
	err error
}

func (e received) apply(s *state, now time.Time) { s.receive(now, e) }

func (ticked) apply(s *state, now time.Time) { s.tick(now) }

func (e seen) apply(s *state, now time.Time) { s.observe(now, e.status) }

func (e released) apply(s *state, _ time.Time) { s.sendRelease(e.replica) }

func (e leave) apply(s *state, now time.Time) {
	s.sendAll(s.members.Leave(now), nil)
	s.log.Infof("control: leaving, replicas move to other owners")
	s.settle(now)
	close(e.done)
}

func (e poisoned) apply(s *state, now time.Time) { s.spreadPoison(now, e) }

func (e manifestRead) apply(s *state, now time.Time) {
	s.config.HandleManifest(now, e.manifest, e.err)
	s.request(now)
}

func (e sectionRead) apply(s *state, now time.Time) {
	s.config.HandleSection(now, e.hash, e.body, e.err)
	s.request(now)
}

func (e watched) apply(s *state, now time.Time) {
	s.config.HandleWatchResult(now, e.changed, e.err)
	if e.err != nil && !s.members.HasItem(now, wire.WatchFailureItem, string(s.self)) {
		s.members.PublishItem(now, wire.WatchFailureItem, string(s.self), nil, failingTTL)
		s.chooseWatchers(now)
	}
	s.watchFrom = e.revision
	s.request(now)
}

func (e vmsRead) apply(s *state, now time.Time) {
	s.vmsRunning = false
	if e.err != nil {
		return
	}
	s.vmsKnown = true
	s.members.SetSeeds(now, append(slices.Clone(s.c.cfg.Seeds), e.vms...))
}

// request starts what confsync asks for.
func (s *state) request(now time.Time) {
	for _, r := range s.config.Tick(now) {
		switch r.Kind {
		case confsync.AskPeer:
			s.io.send(membership.Envelope{To: s.vms[r.To], Message: r.Message}, nil)
		case confsync.ReadManifest:
			s.io.call(storeTimeout, s.io.readManifest)
		case confsync.ReadSection:
			s.io.call(storeTimeout, func(ctx context.Context) event { return s.io.readSection(ctx, r) })
		case confsync.Watch:
			after := s.watchFrom
			watch := func(ctx context.Context) event { return s.io.watch(ctx, after) }
			if !s.io.call(watchTimeout+storeTimeout, watch) {
				s.config.HandleWatchResult(now, false, errNoStore)
			}
		}
	}
}

// refreshVMs reads the platform's VM list from time to time.
func (s *state) refreshVMs(now time.Time) {
	if s.vmsRunning || now.Before(s.nextVMs) {
		return
	}
	interval := vmsEvery
	if !s.members.Joined() || len(s.vms) < 2 {
		interval = vmsJoining
	}
	s.nextVMs = now.Add(interval/2 + time.Duration(s.c.cfg.Rng.Int64N(int64(interval))))
	s.vmsRunning = s.io.call(storeTimeout, s.io.readVMs)
}

// call runs one platform call and posts its result. A call that cannot start
// posts nothing: the requests of confsync time out.
func (k *ioRunner) call(timeout time.Duration, f func(ctx context.Context) event) bool {
	return k.run(func(ctx context.Context) {
		bound, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		k.post(f(bound))
	})
}

func (k *ioRunner) readManifest(ctx context.Context) event {
	if k.c.cfg.Store == nil {
		return manifestRead{err: errNoStore}
	}
	o, err := k.c.cfg.Store.Get(ctx, manifestObject)
	if err != nil {
		return manifestRead{err: err}
	}
	var m confsync.Manifest
	err = json.Unmarshal(o.Value, &m)
	return manifestRead{manifest: m, err: err}
}

func (k *ioRunner) readSection(ctx context.Context, r confsync.Request) event {
	if k.c.cfg.Store == nil {
		return sectionRead{hash: r.Hash, err: errNoStore}
	}
	o, err := k.c.cfg.Store.Get(ctx, sectionPrefix+r.Name+"@"+r.Hash)
	return sectionRead{hash: r.Hash, body: o.Value, err: err}
}

func (k *ioRunner) watch(ctx context.Context, after uint64) event {
	if k.c.cfg.Store == nil {
		return watched{err: errNoStore}
	}
	w, err := k.c.cfg.Store.Watch(ctx, manifestObject, after, watchTimeout)
	if err != nil {
		// After a gap the next watch starts from the present, and the poll
		// that follows a failed watch reads what was missed.
		return watched{err: err}
	}
	return watched{revision: w.Revision, changed: len(w.Events) > 0}
}

func (k *ioRunner) readVMs(ctx context.Context) event {
	if k.c.cfg.Store == nil {
		return vmsRead{err: errNoStore}
	}
	vms, err := k.c.cfg.Store.VMs(ctx)
	return vmsRead{vms: vms, err: err}
}
