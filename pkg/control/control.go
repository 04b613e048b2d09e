// Package control runs the control goroutine of one VM. That goroutine is the
// only owner of membership, configuration, replica knowledge and ownership;
// it publishes them to traffic as immutable views.
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
	// eventQueue bounds the inputs that wait for the control goroutine.
	eventQueue = 4096
	// urgentQueue bounds poison, release and leave events, which overtake others.
	urgentQueue = 512
	// eventsPerTurn bounds the events between two publications.
	eventsPerTurn = 512
	// maxIO bounds the goroutines that send messages and call the platform. An
	// excess of messages is dropped; all of them are repeated or have a fallback.
	maxIO = 512
	// joinTimeout is the wait for a first peer. After it the VM serves with
	// what it can reach: it may be the only one in its partition.
	joinTimeout = 5 * time.Second
)

// Ledger is the part of poison.Ledger that control uses.
type Ledger interface {
	Merge(now time.Time, e model.PoisonEntry) bool
	List(now time.Time) []model.PoisonEntry
}

// JoinSectionsFunc builds a document from the sections that a manifest names;
// section returns the body of a hash. See config.Join.
type JoinSectionsFunc func(m confsync.Manifest, section func(hash string) ([]byte, bool)) (*model.Document, error)

// Config holds what a Controller needs. Verify and Ledger are optional.
// Self.Incarnation should be the start time of the process in nanoseconds.
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

// Controller implements model.ViewSource.
type Controller struct {
	cfg    Config
	log    logrus.FieldLogger
	view   atomic.Pointer[model.View]
	synced atomic.Bool
	events chan event
	urgent chan event
	// observed is separate, so that statuses cannot displace messages.
	observed chan model.ReplicaStatus
	state    *state
}

// New returns a Controller that publishes an empty view until Run is called.
func New(c Config) *Controller {
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	if c.Rng == nil {
		c.Rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	k := &Controller{cfg: c, log: c.Log}
	k.events = make(chan event, eventQueue)
	k.urgent = make(chan event, urgentQueue)
	k.observed = make(chan model.ReplicaStatus, eventQueue)
	k.view.Store(&model.View{Self: c.Self, VMs: map[model.VMID]model.VM{c.Self.ID: c.Self}})
	return k
}

// Kinds lists the messages that Handle serves.
func Kinds() []wire.Kind {
	return []wire.Kind{
		wire.KindPing, wire.KindAck, wire.KindPingRequest, wire.KindPingResult,
		wire.KindSyncRequest, wire.KindSyncReply, wire.KindConfigRequest, wire.KindConfigReply,
		wire.KindRelease, wire.KindPoisonReport, wire.KindPoisonAck,
	}
}

// Run owns the control state until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	io, ioCtx := errgroup.WithContext(ctx)
	io.SetLimit(maxIO)
	now := time.Now()
	c.state = newState(c, now, &ioRunner{c: c, group: io, ctx: ioCtx})
	group.Go(func() error { return c.loop(ctx) })
	err := group.Wait()
	if ioErr := io.Wait(); err == nil {
		err = ioErr
	}
	return err
}

// loop is the control goroutine.
func (c *Controller) loop(ctx context.Context) error {
	tick := time.NewTicker(membership.TickInterval)
	defer tick.Stop()
	s := c.state
	s.tick(time.Now())
	s.settle(time.Now())
	for {
		var first event
		select {
		case first = <-c.urgent:
		case first = <-c.events:
		case o := <-c.observed:
			first = seen{o}
		case <-tick.C:
			first = ticked{}
		case <-ctx.Done():
			return nil
		}
		s.wake(time.Now())
		first.apply(s, time.Now())
		c.drain(s)
		s.settle(time.Now())
	}
}

// drain takes events that already wait, urgent ones first, so that many
// changes cost one publication.
func (c *Controller) drain(s *state) {
	for range eventsPerTurn {
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
			seen{o}.apply(s, time.Now())
		default:
			return
		}
	}
}

// Current implements model.ViewSource.
func (c *Controller) Current() *model.View { return c.view.Load() }

// Synced reports whether the VM has had a configuration that was the newest
// it knew of, after it had asked its peers.
func (c *Controller) Synced() bool { return c.synced.Load() }

// Handle serves control messages of a peer. It returns when the message is queued.
func (c *Controller) Handle(ctx context.Context, from model.VMID, first wire.Message, _ <-chan wire.Message, reply func(wire.Message) error) {
	queue := c.events
	switch first.(type) {
	case *wire.Release, *wire.PoisonReport, *wire.PoisonAck:
		queue = c.urgent
	}
	select {
	case queue <- received{from: from, message: first, reply: reply}:
	case <-ctx.Done():
	}
}

// ObserveReplica takes what this VM saw of a replica. It never blocks; a
// status that finds the queue full is dropped, the next one replaces it.
func (c *Controller) ObserveReplica(s model.ReplicaStatus) {
	select {
	case c.observed <- s:
	default:
		c.log.Warnf("control: dropped a status of %s, queue is full", s.Replica)
	}
}

// SendRelease tells the new owner of a replica that the last attempt of this VM
// at it has ended. The message is queued; a full queue drops it.
func (c *Controller) SendRelease(r model.ReplicaID) {
	select {
	case c.urgent <- released{replica: r}:
	default:
		// Without the message the new owner lifts its limit after a timeout.
		c.log.Warnf("control: release of replica %s is not sent, queue of %d events is full", r, urgentQueue)
	}
}

// Leave announces that this VM is leaving and returns when the announcement
// is under way and the view names other owners.
func (c *Controller) Leave(ctx context.Context) {
	e := leave{done: make(chan struct{})}
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

// ioRunner runs the I/O of the control goroutine in goroutines of its own.
type ioRunner struct {
	c     *Controller
	group *errgroup.Group
	ctx   context.Context
}

// sendTimeout bounds the sending of one message. A later one replaces it.
const sendTimeout = 2 * time.Second

// run starts f unless too much I/O is under way.
func (k *ioRunner) run(f func(ctx context.Context)) bool {
	started := k.group.TryGo(func() error {
		f(k.ctx)
		return nil
	})
	if !started {
		k.c.log.Warnf("control: dropped an operation, %d are running", maxIO)
	}
	return started
}

// retirer is implemented by transports that can give up a connection.
type retirer interface{ Retire(id model.VMID) }

// send delivers an envelope. Errors need no reaction: a missing answer is
// what the protocol acts on.
func (k *ioRunner) send(e membership.Envelope, reply func(wire.Message) error) {
	k.run(func(ctx context.Context) {
		if e.Reply && reply != nil {
			_ = reply(e.Message)
			return
		}
		if t, ok := k.c.cfg.Transport.(retirer); ok && e.NewConnection {
			t.Retire(e.To.ID)
		}
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		_ = k.c.cfg.Transport.Notify(ctx, e.To, e.Message)
	})
}

// post queues a result of I/O for the control goroutine.
func (k *ioRunner) post(e event) {
	select {
	case k.c.events <- e:
	case <-k.ctx.Done():
	}
}

var errNoStore = errs.Refuse(errs.PlatformDown, "no platform is configured")
