package claim

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// committer makes the platform calls of one partition's Updater and passes the
// result of each operation to its callback. Its goroutine ends when the Updater is idle, and is
// started again by the next operation.
type committer struct {
	service   *Service
	partition int
	objectKey string

	mu        sync.Mutex
	updater   *Updater
	callbacks map[uint64]func(Result)
	lastID    uint64
	running   bool
	wake      chan struct{}
}

// committer returns the committer of a partition, creating it on first use.
func (s *Service) committer(partition int) *committer {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.committers[partition]
	if c != nil {
		return c
	}
	config := UpdaterConfig{
		WritesPerSecond: s.config.WritesPerSecond / float64(cmp.Or(s.partitions, s.configuredPartitions())),
		BurstWrites:     burstWrites,
		Retention:       s.retention(),
		Rand:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	c = &committer{
		service: s, partition: partition, objectKey: ObjectKey(partition),
		updater:   NewUpdater(config, time.Now()),
		callbacks: map[uint64]func(Result){},
		wake:      make(chan struct{}, 1),
	}
	s.committers[partition] = c
	return c
}

// submit adds an operation. The callback must not block. It gets one final result,
// unless the operation is withdrawn or the service is closed before, and may get
// ClaimWaiting once before the final result.
func (c *committer) submit(op Op, callback func(Result)) (id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	op.ID = c.lastID
	c.callbacks[op.ID] = callback
	c.updater.Submit(time.Now(), op)
	if c.running {
		c.signal()
		return op.ID
	}
	c.running = true
	c.service.background.start(c.run)
	return op.ID
}

// withdraw drops an operation and its callback. An operation that may already be
// stored is still carried out.
func (c *committer) withdraw(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updater.Withdraw(id)
	delete(c.callbacks, id)
	c.signal()
}

// signal wakes the goroutine of the committer if it sleeps.
func (c *committer) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run makes platform calls until the Updater is idle or the service is closed.
func (c *committer) run() {
	for {
		action, call, wait, idle := c.next()
		switch {
		case call:
			c.call(action)
		case idle:
			return
		default:
			c.sleep(wait)
		}
		if c.service.baseCtx.Err() != nil {
			c.stop()
			return
		}
	}
}

// next returns the platform call to make now if call is set. Else it returns how
// long to sleep, or reports that the Updater is idle and that run must return.
func (c *committer) next() (action Action, call bool, wait time.Duration, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.updater.SetRetention(c.service.retention())
	action, call = c.updater.Next(now)
	c.deliver()
	if call {
		return action, true, 0, false
	}
	if c.updater.Idle() {
		c.running = false
		clear(c.callbacks)
		c.dropUnownedCache()
		return action, false, 0, true
	}
	at, ok := c.updater.NextWakeup(now)
	if !ok {
		return action, false, maxPollInterval, false
	}
	return action, false, at.Sub(now), false
}

// dropUnownedCache drops the cached content of a partition that another VM owns,
// because that VM changes it. The owner keeps the content, which saves a read
// before each update.
func (c *committer) dropUnownedCache() {
	if _, other := c.service.owner(c.partition); other {
		c.updater.DropCache()
	}
}

// deliver passes new results to the callbacks of their operations.
func (c *committer) deliver() {
	for _, r := range c.updater.Results() {
		if callback := c.callbacks[r.ID]; callback != nil {
			callback(r)
		}
		if r.Verdict.Final() {
			delete(c.callbacks, r.ID)
		}
	}
}

// call makes one platform call and passes its reply to the Updater.
func (c *committer) call(a Action) {
	ctx, cancel := context.WithTimeout(c.service.baseCtx, storeTimeout)
	defer cancel()
	store := c.service.config.Store
	if a.Load {
		o, err := store.Get(ctx, c.objectKey)
		c.applyReply(func(now time.Time) { c.updater.Loaded(now, o, err) })
		return
	}
	version, err := store.Put(ctx, c.objectKey, a.Value, a.Condition)
	c.applyReply(func(now time.Time) { c.updater.Stored(now, version, err) })
}

// applyReply calls f, which passes a reply to the Updater, and delivers the
// results.
func (c *committer) applyReply(f func(now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(time.Now())
	if err := c.updater.LastError(); err != nil {
		c.service.config.Log.Warnf("reading or updating claim partition %s failed: %v", c.objectKey, err)
	}
	c.deliver()
}

// sleep returns after d, on a signal, or when the service is closed.
func (c *committer) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.wake:
	case <-c.service.baseCtx.Done():
	}
}

// stop marks the committer of a closed service as not running. Requests that
// still wait for a result end at their own deadline.
func (c *committer) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = false
}
