package edge

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
)

const (
	// probeTimeout limits one health probe, which may have to wait for a free slot
	// of the replica like any request.
	probeTimeout = 700 * time.Millisecond
	// minProbeDelay and maxProbeDelay limit the growing delay between probes of
	// an unreachable replica.
	minProbeDelay = 100 * time.Millisecond
	maxProbeDelay = time.Second
	// minReprobeInterval is the least time between two probes of a replica that
	// closes connections during requests but answers its probes.
	minReprobeInterval = 500 * time.Millisecond
	// defaultHealthPath is used if the configuration has none for the service.
	defaultHealthPath = "/healthz"
)

// prober sends health probes, which show whether a replica can be reached, how
// long it stays cold, and whether it is the one expected at its address. A
// replica is probed only after a request to it has failed or its failure domain
// was put back into service.
type prober struct {
	headers forward.HeaderNames
	log     logrus.FieldLogger
	// ctx ends all probes.
	ctx context.Context
	// onCold is called when a replica reports how long it stays cold, onCrash
	// with the requests that were in flight when a replica crashed.
	onCold  func(u *forward.Upstream, left time.Duration)
	onCrash func(u *forward.Upstream, suspects []poison.LostAttempt)
	// onSuspectSucceeded is called with a request that succeeded though it was in flight
	// at a crash.
	onSuspectSucceeded func(attempt forward.RequestAttempt, services []string)
	// onSuspectUnanswered is called with a request that was in flight at a crash before
	// and has no answer in the usual time, onNotCrashed with requests under which no
	// replica has crashed.
	onSuspectUnanswered func(u *forward.Upstream, attempt forward.RequestAttempt)
	onNotCrashed        func(attempts []forward.RequestAttempt)
	// onRequestLimit is called when the request limit of a replica has changed.
	onRequestLimit func(u *forward.Upstream)

	mu   sync.Mutex
	view *forward.View
	// probing holds the replicas with a running probe loop.
	probing map[*forward.Upstream]bool
	// lastAnswer holds when each replica last answered a probe.
	lastAnswer map[*forward.Upstream]time.Time
	// hear is given the answers to probes.
	hear func(u *forward.Upstream, now time.Time, reply exchange.Reply, requestID string)
	// told holds what replicas have said to this VM. A replica that is out of the view
	// for a while gets new state, but is the same process.
	told map[replicaKey]toldAt
	// failedAt holds when each replica could last not be reached, or did not answer.
	failedAt map[*forward.Upstream]time.Time
	// unanswered holds, for each replica, the requests that it did not answer and may
	// have crashed under.
	unanswered map[*forward.Upstream]*poison.Unanswered
}

func newProber(headers forward.HeaderNames, log logrus.FieldLogger) *prober {
	return &prober{
		headers: headers, log: log,
		probing: map[*forward.Upstream]bool{}, lastAnswer: map[*forward.Upstream]time.Time{}, unanswered: map[*forward.Upstream]*poison.Unanswered{},
		failedAt: map[*forward.Upstream]time.Time{}, told: map[replicaKey]toldAt{},
	}
}

// start enables probing until ctx ends. onCold is called when a replica reports
// how long it stays cold.
func (p *prober) start(ctx context.Context, onCold func(*forward.Upstream, time.Duration)) {
	p.ctx, p.onCold = ctx, onCold
}

// setView sets the view that names the replicas to probe, and drops the records
// of replicas that it does not contain.
func (p *prober) setView(view *forward.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view = view
	p.restoreTold(view)
	for u := range p.lastAnswer {
		if !inView(view, u) {
			delete(p.lastAnswer, u)
		}
	}
	for u := range p.failedAt {
		if !inView(view, u) {
			delete(p.failedAt, u)
		}
	}
	for u, unanswered := range p.unanswered {
		if !inView(view, u) && unanswered.Expired(time.Now()) {
			delete(p.unanswered, u)
		}
	}
}

// inView reports whether the view contains the replica.
func inView(view *forward.View, u *forward.Upstream) bool {
	replicaSet := view.ReplicaSets[u.Member.Service]
	if replicaSet == nil {
		return false
	}
	for _, member := range replicaSet.Upstreams {
		if member == u {
			return true
		}
	}
	return false
}

// ReplicaUnreachable implements forward.Observer.
func (p *prober) ReplicaUnreachable(u *forward.Upstream, refusal *errs.Refusal) {
	if p.setDown(u, refusal) {
		u.Pool.CloseIdle()
	}
	p.judge(u, time.Now(), refusal)
	p.startProbing(u, minProbeDelay)
}

// SuspectSucceeded implements forward.Observer.
func (p *prober) SuspectSucceeded(attempt forward.RequestAttempt, services []string) {
	p.onSuspectSucceeded(attempt, services)
}

// SuspectUnanswered implements forward.Observer.
func (p *prober) SuspectUnanswered(u *forward.Upstream, sentAt time.Time, attempt forward.RequestAttempt) {
	p.onSuspectUnanswered(u, attempt)
	p.addUnanswered(u, sentAt, attempt, false)
}

// SuspectAnswered implements forward.Observer.
func (p *prober) SuspectAnswered(attempt forward.RequestAttempt) {
	p.onNotCrashed([]forward.RequestAttempt{attempt})
}

// RequestLimitChanged implements forward.Observer.
func (p *prober) RequestLimitChanged(u *forward.Upstream) { p.onRequestLimit(u) }

// failedWithin returns the number of replicas that could not be reached, or did not
// answer, within the last d.
func (p *prober) failedWithin(d time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, at := range p.failedAt {
		if time.Since(at) < d {
			n++
		}
	}
	return n
}

// recordFailure records that a replica could not be reached, or does not answer.
func (p *prober) recordFailure(u *forward.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failedAt[u] = time.Now()
}

// setDown marks a replica as unreachable. It reports whether it was not before.
func (p *prober) setDown(u *forward.Upstream, refusal *errs.Refusal) bool {
	p.recordFailure(u)
	changed := u.Tracker.SetDown(true)
	if changed {
		p.log.WithFields(logrus.Fields{"replica": u.Member.ID, "service": u.Member.Service, "why": refusal.Error()}).Info("replica is unreachable")
	}
	return changed
}

// RequestInterrupted implements forward.Observer. The replica may have crashed
// and may be cold after its restart, so it is probed at once.
func (p *prober) RequestInterrupted(u *forward.Upstream, sentAt time.Time, refusal *errs.Refusal, attempt forward.RequestAttempt) {
	p.recordFailure(u)
	p.addUnanswered(u, sentAt, attempt, true)
	p.mu.Lock()
	running, reprobeIn := p.probing[u], p.reprobeIn(u)
	p.mu.Unlock()
	p.log.WithFields(logrus.Fields{
		"id": attempt.RequestID, "replica": u.Member.ID, "fingerprint": fmt.Sprintf("%016x", attempt.Fingerprint),
		"code": refusal.Code, "probe_running": running, "probe_in_ms": reprobeIn.Milliseconds(),
	}).Info("replica broke off a request")
	p.startProbing(u, reprobeIn)
}

// RequestUnanswered implements forward.Observer.
func (p *prober) RequestUnanswered(u *forward.Upstream, sentAt time.Time, attempt forward.RequestAttempt) {
	p.addUnanswered(u, sentAt, attempt, false)
}

// reprobeIn returns the time until a replica may be probed that has answered a probe
// lately. p.mu is held.
func (p *prober) reprobeIn(u *forward.Upstream) time.Duration {
	return max(0, minReprobeInterval-time.Since(p.lastAnswer[u]))
}

// ReplicaUnresponsive implements forward.Observer. With the idle connections
// closed, the probe has to open a new one, which fails if the network path is
// broken.
func (p *prober) ReplicaUnresponsive(u *forward.Upstream) {
	p.recordFailure(u)
	p.mu.Lock()
	recent := p.reprobeIn(u) > 0
	p.mu.Unlock()
	if !recent {
		u.Pool.CloseIdle()
		p.startProbing(u, 0)
	}
}

// busy reports whether a replica is being probed.
func (p *prober) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.probing) > 0
}

// startProbing starts the probe loop of a replica after a delay, unless it is
// already running.
func (p *prober) startProbing(u *forward.Upstream, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.probing[u] || p.ctx.Err() != nil {
		return
	}
	p.probing[u] = true
	go p.probeUntilAnswered(u, delay)
}

// probeUntilAnswered probes a replica until it answers, is no longer in the
// view, or the prober stops.
func (p *prober) probeUntilAnswered(u *forward.Upstream, delay time.Duration) {
	defer func() {
		p.mu.Lock()
		delete(p.probing, u)
		p.mu.Unlock()
	}()
	for wait.Sleep(p.ctx, delay) && p.inCurrentView(u) {
		now := time.Now()
		if !u.Tracker.AllowProbe(now) {
			delay = max(minProbeDelay, u.Tracker.WaitForPermit(now))
			continue
		}
		refusal := p.probe(u)
		p.judge(u, now, refusal)
		if refusal == nil {
			p.mu.Lock()
			p.lastAnswer[u] = time.Now()
			p.mu.Unlock()
			if u.Tracker.SetDown(false) {
				p.log.WithFields(logrus.Fields{"replica": u.Member.ID, "service": u.Member.Service}).Info("replica is reachable again")
			}
			return
		}
		if provesUnreachable(refusal) {
			p.setDown(u, refusal)
		}
		delay = min(max(minProbeDelay, delay*3/2), maxProbeDelay)
	}
}

// provesUnreachable reports whether a failed probe shows that the replica cannot
// be reached. Other failures do not: a probe may time out because the replica is
// busy or because all connections to it are in use.
func provesUnreachable(refusal *errs.Refusal) bool {
	return refusal.Code == errs.UpstreamLost || refusal.Code == errs.NotOwner
}

// inCurrentView reports whether the current view contains the replica.
func (p *prober) inCurrentView(u *forward.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view != nil && inView(p.view, u)
}

// probe sends one health probe. Any answer from the expected replica shows that
// it can be reached. Its status is ignored, because a reported health may be
// wrong.
func (p *prober) probe(u *forward.Upstream) *errs.Refusal {
	ctx, cancel := context.WithTimeout(p.ctx, probeTimeout)
	defer cancel()
	reply, refusal := u.Pool.Do(ctx, exchange.Call{
		Method: http.MethodGet, IDHeader: p.headers.RequestID,
		Head: []byte("GET " + p.healthPath(u) + " HTTP/1.1\r\nHost: " + u.Member.Addr + "\r\n"),
	})
	if refusal != nil {
		return refusal
	}
	p.hear(u, time.Now(), reply, "probe")
	if id := reply.Header.Get(p.headers.ReplicaID); id != "" && id != u.Member.ID {
		return errs.Refuse(errs.NotOwner, "replica %s has the address", id)
	}
	if ms, err := strconv.ParseFloat(reply.Header.Get(p.headers.WarmupLeft), 64); err == nil && ms > 0 {
		p.onCold(u, time.Duration(ms*float64(time.Millisecond)))
	}
	return nil
}

// healthPath returns the path of the health check of the replica's service.
func (p *prober) healthPath(u *forward.Upstream) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.view.Table.Services[u.Member.Service]; s != nil && s.HealthPath != "" {
		return s.HealthPath
	}
	return defaultHealthPath
}
