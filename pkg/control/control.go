// Package control runs the control goroutine of one VM. Only this goroutine changes
// the VM's membership, its configuration, the observed state of the replicas and
// their owners. It publishes them as immutable views, which requests are routed by.
package control

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/confsync"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/membership"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/platform"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

const (
	// eventQueueLength bounds the events that wait for the control goroutine.
	eventQueueLength = 4096
	// urgentQueueLength bounds the waiting poison, release and leave events, which
	// are handled before others.
	urgentQueueLength = 512
	// maxEventsPerTurn bounds the events that are handled between two updates of
	// the view.
	maxEventsPerTurn = 512
	// maxIOGoroutines bounds the goroutines that send messages and call the
	// platform. Operations beyond it are dropped; all of them are repeated later or
	// have a fallback.
	maxIOGoroutines = 512
	// joinTimeout is the time to wait for a first peer. After it the VM serves with
	// the upstreams that it can reach, because it may be alone in its partition.
	joinTimeout = 5 * time.Second
)

// Ledger is the part of poison.Ledger that this package uses.
type Ledger interface {
	Merge(now time.Time, e model.PoisonEntry) bool
	List(now time.Time) []model.PoisonEntry
}

// JoinSectionsFunc builds a document from the sections that a manifest names;
// section returns the body of a hash. See config.Join.
type JoinSectionsFunc func(m confsync.Manifest, section func(hash string) ([]byte, bool)) (*model.Document, error)

// Config holds the settings and dependencies of a Controller. Store, Log, Ledger,
// Verify and Rng are optional. Self.Incarnation should be the start time of the
// process in nanoseconds.
type Config struct {
	Self         model.VM
	Seeds        []model.VM
	Transport    wire.Transport
	Store        platform.Store
	Log          logrus.FieldLogger
	Ledger       Ledger
	JoinSections JoinSectionsFunc
	// Verify reports whether the body of a section has the given hash.
	Verify func(hash string, body []byte) bool
	// Rng is the random source; a nil Rng is seeded at random.
	Rng *rand.Rand
}

// Controller runs the control goroutine and gives access to the current view. It
// implements model.ViewSource.
type Controller struct {
	cfg    Config
	log    logrus.FieldLogger
	view   atomic.Pointer[model.View]
	synced atomic.Bool
	events chan event
	urgent chan event
	// observed is a queue of its own, so that replica statuses cannot fill the
	// queue of messages.
	observed chan model.ReplicaStatus
	state    *state
}

// New returns a Controller. Until Run publishes a view, the current one holds only
// this VM.
func New(c Config) *Controller {
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	if c.Rng == nil {
		c.Rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	controller := &Controller{cfg: c, log: c.Log}
	controller.events = make(chan event, eventQueueLength)
	controller.urgent = make(chan event, urgentQueueLength)
	controller.observed = make(chan model.ReplicaStatus, eventQueueLength)
	controller.view.Store(&model.View{Self: c.Self, VMs: map[model.VMID]model.VM{c.Self.ID: c.Self}})
	return controller
}

// Kinds lists the kinds of messages that Handle serves.
func Kinds() []wire.Kind {
	return []wire.Kind{
		wire.KindPing, wire.KindAck, wire.KindPingRequest, wire.KindPingResult,
		wire.KindSyncRequest, wire.KindSyncReply, wire.KindConfigRequest, wire.KindConfigReply,
		wire.KindRelease, wire.KindPoisonReport, wire.KindPoisonAck,
	}
}

// Run runs the control goroutine until ctx ends, and then waits for its I/O.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	io, ioCtx := errgroup.WithContext(ctx)
	io.SetLimit(maxIOGoroutines)
	now := time.Now()
	c.state = newState(c, now, &ioRunner{controller: c, group: io, ctx: ioCtx})
	group.Go(func() error { return c.loop(ctx) })
	err := group.Wait()
	if ioErr := io.Wait(); err == nil {
		err = ioErr
	}
	return err
}

// loop is the control goroutine. Each iteration handles the waiting events and then
// updates the view once.
func (c *Controller) loop(ctx context.Context) error {
	tick := time.NewTicker(membership.TickInterval)
	defer tick.Stop()
	s := c.state
	s.tick(time.Now())
	s.updateView(time.Now())
	for {
		var first event
		select {
		case first = <-c.urgent:
		case first = <-c.events:
		case o := <-c.observed:
			first = replicaObserved{o}
		case <-tick.C:
			first = timerTicked{}
		case <-ctx.Done():
			return nil
		}
		s.beginIteration(time.Now())
		first.apply(s, time.Now())
		c.applyQueued(s)
		s.updateView(time.Now())
	}
}

// applyQueued handles the events that are waiting, urgent ones first, so that many
// changes lead to one publication.
func (c *Controller) applyQueued(s *state) {
	for range maxEventsPerTurn {
		select {
		case e := <-c.urgent:
			e.apply(s, time.Now())
			continue
		default:
		}
		select {
		case e := <-c.events:
			e.apply(s, time.Now())
		case o := <-c.observed:
			replicaObserved{o}.apply(s, time.Now())
		default:
			return
		}
	}
}

// Current implements model.ViewSource.
func (c *Controller) Current() *model.View { return c.view.Load() }

// Synced reports whether this VM has at some time had the newest configuration that
// it knew of, after it had heard from a peer or joinTimeout had passed.
func (c *Controller) Synced() bool { return c.synced.Load() }

// Handle queues a control message of a peer for the control goroutine. It blocks
// while the queue is full.
func (c *Controller) Handle(ctx context.Context, from model.VMID, first wire.Message, _ <-chan wire.Message, reply func(wire.Message) error) {
	queue := c.events
	switch first.(type) {
	case *wire.Release, *wire.PoisonReport, *wire.PoisonAck:
		queue = c.urgent
	}
	select {
	case queue <- messageReceived{from: from, message: first, reply: reply}:
	case <-ctx.Done():
	}
}

// ObserveReplica queues the state in which this VM observed a replica. It never
// blocks: if the queue is full, the status is dropped and a later one replaces it.
func (c *Controller) ObserveReplica(s model.ReplicaStatus) {
	select {
	case c.observed <- s:
	default:
		c.log.Warnf("control: status of replica %s is dropped, queue of %d statuses is full", s.Replica, eventQueueLength)
	}
}

// SendRelease tells the new owner of a replica that the last attempt of this VM
// at it has ended. The message is queued; a full queue drops it.
func (c *Controller) SendRelease(r model.ReplicaID) {
	select {
	case c.urgent <- replicaReleased{replica: r}:
	default:
		// Without the message the new owner lifts its limit after a timeout.
		c.log.Warnf("control: release of replica %s is not sent, queue of %d events is full", r, urgentQueueLength)
	}
}

// Leave announces that this VM is leaving. It returns when the announcement is being
// sent and the published view gives this VM's replicas to other owners.
func (c *Controller) Leave(ctx context.Context) {
	e := leaveRequested{done: make(chan struct{})}
	select {
	case c.urgent <- e:
	case <-ctx.Done():
		return
	}
	select {
	case <-e.done:
	case <-ctx.Done():
	}
}

// ioRunner does the I/O of the control goroutine in other goroutines.
type ioRunner struct {
	controller *Controller
	group      *errgroup.Group
	ctx        context.Context
}

// sendTimeout bounds the sending of one message. A message that is not sent in time
// is replaced by a later one.
const sendTimeout = 2 * time.Second

// run starts f in a goroutine and reports whether it did. It does not if
// maxIOGoroutines are running.
func (io *ioRunner) run(f func(ctx context.Context)) bool {
	started := io.group.TryGo(func() error {
		f(io.ctx)
		return nil
	})
	if !started {
		io.controller.log.Warnf("control: a message or platform call is dropped, %d are running", maxIOGoroutines)
	}
	return started
}

// retiringTransport is implemented by transports that can close the connection to a
// VM, so that the next message uses a new one.
type retiringTransport interface{ Retire(id model.VMID) }

// send sends a message, as a reply if the envelope asks for that and reply is set.
// Errors are ignored, because the protocols act on missing replies.
func (io *ioRunner) send(e membership.Envelope, reply func(wire.Message) error) {
	io.run(func(ctx context.Context) {
		if e.Reply && reply != nil {
			_ = reply(e.Message)
			return
		}
		if t, ok := io.controller.cfg.Transport.(retiringTransport); ok && e.NewConnection {
			t.Retire(e.To.ID)
		}
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		_ = io.controller.cfg.Transport.Notify(ctx, e.To, e.Message)
	})
}

// enqueue queues the result of a platform call for the control goroutine.
func (io *ioRunner) enqueue(e event) {
	select {
	case io.controller.events <- e:
	case <-io.ctx.Done():
	}
}

var errNoStore = errs.Refuse(errs.PlatformDown, "no platform is configured")
