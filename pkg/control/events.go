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
	// watchTimeout is how long the platform holds a watch without a change.
	watchTimeout = 30 * time.Second
	// storeTimeout bounds other calls to the platform.
	storeTimeout = 5 * time.Second
	// vmListInterval is the interval of reading the platform's VM list. 1,500 VMs
	// use 50 of the platform's 2,000 reads a second. vmListJoiningInterval applies to
	// a VM that has not joined or knows no other VM.
	vmListInterval        = 30 * time.Second
	vmListJoiningInterval = 2 * time.Second
)

// event is an input of the control goroutine.
type event interface{ apply(s *state, now time.Time) }

// messageReceived is a message of a peer; reply sends on its connection.
type messageReceived struct {
	from    model.VMID
	message wire.Message
	reply   func(wire.Message) error
}

type timerTicked struct{}

// replicaObserved is the state in which this VM observed a replica.
type replicaObserved struct{ status model.ReplicaStatus }

// replicaReleased is the end of the last attempt at a replica that this VM gave up.
type replicaReleased struct{ replica model.ReplicaID }

// leaveRequested asks for this VM to leave; done is closed when the view is published.
type leaveRequested struct{ done chan struct{} }

// poisonPublished asks for an entry to be sent to other VMs; done is closed after all
// acks of the report.
type poisonPublished struct {
	entry model.PoisonEntry
	done  chan struct{}
}

// manifestRead is the result of a read of the manifest from the platform.
type manifestRead struct {
	manifest confsync.Manifest
	err      error
}

// sectionRead is the result of a read of the section with the given hash.
type sectionRead struct {
	hash string
	body []byte
	err  error
}

// watchEnded is the result of a watch of the manifest; the next one starts after
// revision.
type watchEnded struct {
	revision uint64
	changed  bool
	err      error
}

// vmListRead is the result of a read of the platform's VM list.
type vmListRead struct {
	vms []model.VM
	err error
}

func (e messageReceived) apply(s *state, now time.Time) { s.receive(now, e) }

func (timerTicked) apply(s *state, now time.Time) { s.tick(now) }

func (e replicaObserved) apply(s *state, now time.Time) { s.observeReplica(now, e.status) }

func (e replicaReleased) apply(s *state, _ time.Time) { s.sendRelease(e.replica) }

func (e leaveRequested) apply(s *state, now time.Time) {
	s.sendEnvelopes(s.members.Leave(now), nil)
	s.log.Infof("control: leaving, replicas move to other owners")
	s.updateView(now)
	close(e.done)
}

func (e poisonPublished) apply(s *state, now time.Time) { s.publishPoison(now, e) }

func (e manifestRead) apply(s *state, now time.Time) {
	s.config.HandleManifest(now, e.manifest, e.err)
	s.startConfigRequests(now)
}

func (e sectionRead) apply(s *state, now time.Time) {
	s.config.HandleSection(now, e.hash, e.body, e.err)
	s.startConfigRequests(now)
}

func (e watchEnded) apply(s *state, now time.Time) {
	s.config.HandleWatchResult(now, e.changed, e.err)
	if e.err != nil && !s.members.HasItem(now, wire.WatchFailureItem, string(s.self)) {
		s.members.PublishItem(now, wire.WatchFailureItem, string(s.self), nil, watchFailureTTL)
		s.updateWatcherRole(now)
	}
	s.watchRevision = e.revision
	s.startConfigRequests(now)
}

func (e vmListRead) apply(s *state, now time.Time) {
	s.vmListReadRunning = false
	if e.err != nil {
		return
	}
	s.vmListKnown = true
	s.members.SetSeeds(now, append(slices.Clone(s.controller.cfg.Seeds), e.vms...))
}

// startConfigRequests starts the requests that the configuration syncer asks for.
func (s *state) startConfigRequests(now time.Time) {
	for _, r := range s.config.Tick(now) {
		switch r.Kind {
		case confsync.AskPeer:
			s.io.send(membership.Envelope{To: s.vms[r.To], Message: r.Message}, nil)
		case confsync.ReadManifest:
			s.io.callPlatform(storeTimeout, s.io.readManifest)
		case confsync.ReadSection:
			s.io.callPlatform(storeTimeout, func(ctx context.Context) event { return s.io.readSection(ctx, r) })
		case confsync.Watch:
			after := s.watchRevision
			watch := func(ctx context.Context) event { return s.io.watch(ctx, after) }
			if !s.io.callPlatform(watchTimeout+storeTimeout, watch) {
				s.config.HandleWatchResult(now, false, errNoStore)
			}
		}
	}
}

// refreshVMList starts a read of the platform's VM list if one is due. Jitter keeps
// VMs that started together from reading together.
func (s *state) refreshVMList(now time.Time) {
	if s.vmListReadRunning || now.Before(s.nextVMListRead) {
		return
	}
	interval := vmListInterval
	if !s.members.Joined() || len(s.vms) < 2 {
		interval = vmListJoiningInterval
	}
	s.nextVMListRead = now.Add(interval/2 + time.Duration(s.controller.cfg.Rng.Int64N(int64(interval))))
	s.vmListReadRunning = s.io.callPlatform(storeTimeout, s.io.readVMList)
}

// callPlatform starts a platform call and queues its result for the control
// goroutine. It returns false if the call cannot start. Nothing is queued then;
// reads of the configuration time out in the syncer and are repeated.
func (io *ioRunner) callPlatform(timeout time.Duration, f func(ctx context.Context) event) bool {
	return io.run(func(ctx context.Context) {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		io.enqueue(f(callCtx))
	})
}

func (io *ioRunner) readManifest(ctx context.Context) event {
	if io.controller.cfg.Store == nil {
		return manifestRead{err: errNoStore}
	}
	o, err := io.controller.cfg.Store.Get(ctx, manifestObject)
	if err != nil {
		return manifestRead{err: err}
	}
	var m confsync.Manifest
	err = json.Unmarshal(o.Value, &m)
	return manifestRead{manifest: m, err: err}
}

func (io *ioRunner) readSection(ctx context.Context, r confsync.Request) event {
	if io.controller.cfg.Store == nil {
		return sectionRead{hash: r.Hash, err: errNoStore}
	}
	o, err := io.controller.cfg.Store.Get(ctx, sectionPrefix+r.Name+"@"+r.Hash)
	return sectionRead{hash: r.Hash, body: o.Value, err: err}
}

func (io *ioRunner) watch(ctx context.Context, after uint64) event {
	if io.controller.cfg.Store == nil {
		return watchEnded{err: errNoStore}
	}
	w, err := io.controller.cfg.Store.Watch(ctx, manifestObject, after, watchTimeout)
	if err != nil {
		// The next watch starts from revision 0, that is, from the present objects.
		// The poll that follows a failed watch reads a change that was missed.
		return watchEnded{err: err}
	}
	return watchEnded{revision: w.Revision, changed: len(w.Events) > 0}
}

func (io *ioRunner) readVMList(ctx context.Context) event {
	if io.controller.cfg.Store == nil {
		return vmListRead{err: errNoStore}
	}
	vms, err := io.controller.cfg.Store.VMs(ctx)
	return vmListRead{vms: vms, err: err}
}
