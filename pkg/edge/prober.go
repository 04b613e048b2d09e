package edge

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
)

const (
	// probeTimeout bounds one health probe; it waits for a slot like any
	// request.
	probeTimeout = 700 * time.Millisecond
	// minProbePause and maxProbePause bound the time between probes of a
	// replica that cannot be reached.
	minProbePause = 100 * time.Millisecond
	maxProbePause = time.Second
	// probeGap is the least time between two probes of a replica that breaks
	// requests off but answers its probes.
	probeGap = 500 * time.Millisecond
	// maxSuspects bounds the requests kept for one replica.
	maxSuspects = 8
	// defaultHealthPath is asked while the configuration names none.
	defaultHealthPath = "/healthz"
)

// prober asks replicas whether they can be reached, how long they stay cold,
// and whether they are the ones expected at their addresses. A replica is
// probed only after a request has failed there.
type prober struct {
	headers forward.Headers
	log     logrus.FieldLogger
	// ctx ends all probes; cold passes on how long a replica stays cold.
	// crashed gets the requests that were under way when a replica crashed.
	ctx     context.Context
	cold    func(u *forward.Upstream, left time.Duration)
	crashed func(u *forward.Upstream, suspects []forward.Suspect)

	mu      sync.Mutex
	view    *forward.View
	probing map[*forward.Upstream]bool
	lastOK  map[*forward.Upstream]time.Time
	// broken holds the requests that were broken off since the last probe.
	broken map[*forward.Upstream][]forward.Suspect
}

func newProber(headers forward.Headers, log logrus.FieldLogger) *prober {
	return &prober{
		headers: headers, log: log,
		probing: map[*forward.Upstream]bool{}, lastOK: map[*forward.Upstream]time.Time{}, broken: map[*forward.Upstream][]forward.Suspect{},
	}
}

// start makes the prober work until ctx ends.
func (p *prober) start(ctx context.Context, cold func(*forward.Upstream, time.Duration)) {
	p.ctx, p.cold = ctx, cold
}

// keep forgets the replicas that are not in the view.
func (p *prober) keep(view *forward.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view = view
	for u := range p.lastOK {
		if !inView(view, u) {
			delete(p.lastOK, u)
		}
	}
	for u := range p.broken {
		if !inView(view, u) {
			delete(p.broken, u)
		}
	}
}

func inView(view *forward.View, u *forward.Upstream) bool {
	group := view.Groups[u.Member.Service]
	if group == nil {
		return false
	}
	for _, member := range group.Upstreams {
		if member == u {
			return true
		}
	}
	return false
}

// Unreachable implements forward.Observer.
func (p *prober) Unreachable(u *forward.Upstream, why *errs.Refusal) {
	if p.setDown(u, why) {
		u.Pool.DropIdle()
	}
	p.begin(u, minProbePause)
}

// setDown marks a replica as unreachable. It reports whether it was not before.
func (p *prober) setDown(u *forward.Upstream, why *errs.Refusal) bool {
	changed := u.Tracker.SetDown(true)
	if changed {
		p.log.WithFields(logrus.Fields{"replica": u.Member.ID, "service": u.Member.Service, "why": why.Error()}).Info("replica down")
	}
	return changed
}

// Broken implements forward.Observer. The replica may have crashed and may be
// cold when it is back, so it is asked at once.
func (p *prober) Broken(u *forward.Upstream, _ *errs.Refusal, suspect forward.Suspect) {
	p.mu.Lock()
	if len(p.broken[u]) < maxSuspects {
		p.broken[u] = append(p.broken[u], suspect)
	}
	recent := time.Since(p.lastOK[u]) < probeGap
	p.mu.Unlock()
	if !recent {
		p.begin(u, 0)
	}
}

// Silent implements forward.Observer. The probe opens a connection of its own
// if it can, which fails where the link is cut.
func (p *prober) Silent(u *forward.Upstream) {
	p.mu.Lock()
	recent := time.Since(p.lastOK[u]) < probeGap
	p.mu.Unlock()
	if !recent {
		u.Pool.DropIdle()
		p.begin(u, 0)
	}
}

// begin starts probing a replica unless that is under way.
func (p *prober) begin(u *forward.Upstream, after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.probing[u] || p.ctx.Err() != nil {
		return
	}
	p.probing[u] = true
	go p.run(u, after)
}

// run probes a replica until it answers or is gone.
func (p *prober) run(u *forward.Upstream, pause time.Duration) {
	defer func() {
		p.mu.Lock()
		delete(p.probing, u)
		p.mu.Unlock()
	}()
	for wait.Sleep(p.ctx, pause) && p.wanted(u) {
		refusal := p.probe(u)
		p.settle(u, refusal)
		if refusal == nil {
			p.mu.Lock()
			p.lastOK[u] = time.Now()
			p.mu.Unlock()
			if u.Tracker.SetDown(false) {
				p.log.WithFields(logrus.Fields{"replica": u.Member.ID, "service": u.Member.Service}).Info("replica up")
			}
			return
		}
		if conclusive(refusal) {
			p.setDown(u, refusal)
		}
		pause = min(max(minProbePause, pause*3/2), maxProbePause)
	}
}

// settle decides whether the requests that a replica broke off coincided with
// its crash: then nothing listens at its address any more.
func (p *prober) settle(u *forward.Upstream, refusal *errs.Refusal) {
	p.mu.Lock()
	suspects := p.broken[u]
	delete(p.broken, u)
	p.mu.Unlock()
	if len(suspects) > 0 && refusal != nil && refusal.ConnectionRefused {
		p.crashed(u, suspects)
	}
}

// conclusive reports whether a failed probe shows that the replica cannot be
// reached. A busy replica lets a probe wait, and all connections to it may be
// in use.
func conclusive(refusal *errs.Refusal) bool {
	return refusal.Code == errs.UpstreamLost || refusal.Code == errs.NotOwner
}

func (p *prober) wanted(u *forward.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view != nil && inView(p.view, u)
}

// probe makes one health probe. Any answer of the right replica shows that it
// can be reached; what it says of its health may be false.
func (p *prober) probe(u *forward.Upstream) *errs.Refusal {
	ctx, cancel := context.WithTimeout(p.ctx, probeTimeout)
	defer cancel()
	reply, refusal := u.Pool.Do(ctx, exchange.Call{
		Method: http.MethodGet,
		Head:   []byte("GET " + p.healthPath(u) + " HTTP/1.1\r\nHost: " + u.Member.Addr + "\r\n"),
	})
	if refusal != nil {
		return refusal
	}
	if id := reply.Header.Get(p.headers.ReplicaID); id != "" && id != u.Member.ID {
		return errs.Refuse(errs.NotOwner, "replica %s has the address", id)
	}
	if ms, err := strconv.ParseFloat(reply.Header.Get(p.headers.WarmupLeft), 64); err == nil && ms > 0 {
		p.cold(u, time.Duration(ms*float64(time.Millisecond)))
	}
	return nil
}

func (p *prober) healthPath(u *forward.Upstream) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.view.Table.Services[u.Member.Service]; s != nil && s.HealthPath != "" {
		return s.HealthPath
	}
	return defaultHealthPath
}
