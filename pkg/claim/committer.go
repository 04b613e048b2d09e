package claim

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// committer runs the Machine of one partition. Its goroutine lives while the
// Machine has something to do.
type committer struct {
	service   *Service
	partition int
	key       string

	mu      sync.Mutex
	machine *Machine
	sinks   map[uint64]func(Result)
	lastID  uint64
	running bool
	wake    chan struct{}
}

func (s *Service) committer(partition int) *committer {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.committers[partition]
	if c != nil {
		return c
	}
	config := MachineConfig{
		WritesPerSecond: s.config.WritesPerSecond / float64(cmp.Or(s.partitions, s.wantedPartitions())),
		Burst:           writeBurst,
		Retention:       s.retention(),
		Rand:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	c = &committer{
		service: s, partition: partition, key: ObjectKey(partition),
		machine: NewMachine(config, time.Now()),
		sinks:   map[uint64]func(Result){},
		wake:    make(chan struct{}, 1),
	}
	s.committers[partition] = c
	return c
}

// submit adds an operation. The sink must not block; it gets a ClaimWaiting
// at most once and then one result, unless the operation is withdrawn.
func (c *committer) submit(op Op, sink func(Result)) (id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	op.ID = c.lastID
	c.sinks[op.ID] = sink
	c.machine.Submit(time.Now(), op)
	if c.running {
		c.signal()
		return op.ID
	}
	c.running = true
	c.service.running.start(c.run)
	return op.ID
}

func (c *committer) withdraw(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine.Withdraw(id)
	delete(c.sinks, id)
	c.signal()
}

func (c *committer) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *committer) run() {
	for {
		action, call, wait, idle := c.next()
		switch {
		case call:
			c.perform(action)
		case idle:
			return
		default:
			c.sleep(wait)
		}
		if c.service.base.Err() != nil {
			c.abandon()
			return
		}
	}
}

func (c *committer) next() (action Action, call bool, wait time.Duration, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.machine.SetRetention(c.service.retention())
	action, call = c.machine.Next(now)
	c.deliver()
	if call {
		return action, true, 0, false
	}
	if c.machine.Idle() {
		c.running = false
		clear(c.sinks)
		c.forget()
		return action, false, 0, true
	}
	at, ok := c.machine.Wake(now)
	if !ok {
		return action, false, maxPoll, false
	}
	return action, false, at.Sub(now), false
}

// forget drops the content of a partition that another VM owns, because that
// VM changes it; the owner keeps it to save a read for each update.
func (c *committer) forget() {
	if _, other := c.service.owner(c.partition); other {
		c.machine.Forget()
	}
}

func (c *committer) deliver() {
	for _, r := range c.machine.Results() {
		if sink := c.sinks[r.ID]; sink != nil {
			sink(r)
		}
		if r.Verdict.Final() {
			delete(c.sinks, r.ID)
		}
	}
}

func (c *committer) perform(a Action) {
	ctx, cancel := context.WithTimeout(c.service.base, storeTimeout)
	defer cancel()
	store := c.service.config.Store
	if a.Load {
		o, err := store.Get(ctx, c.key)
		c.locked(func(now time.Time) { c.machine.Loaded(now, o, err) })
		return
	}
	version, err := store.Put(ctx, c.key, a.Value, a.Condition)
	c.locked(func(now time.Time) { c.machine.Stored(now, version, err) })
}

func (c *committer) locked(f func(now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(time.Now())
	if err := c.machine.Fault(); err != nil {
		c.service.config.Log.Warnf("claim: update of %s failed: %v", c.key, err)
	}
	c.deliver()
}

func (c *committer) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.wake:
	case <-c.service.base.Done():
	}
}

// abandon ends the committer of a service that is closed. Requests that wait
// end by their own deadline.
func (c *committer) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = false
}
