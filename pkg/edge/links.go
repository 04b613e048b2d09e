package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/forward"
	"github.com/nutmeghitch/nutmeghitch/pkg/wait"
)

const (
	// linkCheckInterval is the interval at which this VM checks whether it reaches
	// replicas, while there is a sign that it does not.
	linkCheckInterval = 200 * time.Millisecond
	// maxLinkDials is the number of replicas that are dialled, spread over the failure
	// domains.
	maxLinkDials = 6
	// minLinkDials is the least number of them that tell anything: a single one may have
	// crashed.
	minLinkDials = 2
	// minFailedReplicas is the number of replicas that have failed, with no answer of any
	// since, that is a sign of lost links.
	minFailedReplicas = 2
	// coverageCheckInterval is the interval of the checks while shards are missing though
	// some replicas answer.
	coverageCheckInterval = time.Second
	// reachedTime is how long replicas have been reached again before this VM sends
	// requests to them itself though some are still marked as unreachable.
	reachedTime = 2 * time.Second
)

// linkEvidence is what a check has shown.
type linkEvidence struct {
	at time.Time
	// dialled and reached count replicas.
	dialled, reached int
	// answered is set if a replica has answered a request since the dials began.
	answered bool
	// covered is set if enough replicas for all routes are not known to be unreachable.
	covered bool
}

// links decides whether this VM is cut off from all replicas. A VM whose replicas are
// all down is cut off as well; the other VMs then do not answer in its place either.
type links struct {
	cutOff bool
	// reachedSince is when a replica was reached again, zero if none was.
	reachedSince time.Time
}

// update applies a check and reports whether the VM is cut off.
func (l *links) update(e linkEvidence) bool {
	switch {
	case e.reached == 0:
		l.reachedSince = time.Time{}
		if e.dialled >= minLinkDials && (!e.answered || !e.covered) {
			l.cutOff = true
		}
	case l.reachedSince.IsZero():
		l.reachedSince = e.at
	}
	// Requests that return before the replicas are probed would find none.
	if e.reached > 0 && (e.covered || e.at.Sub(l.reachedSince) >= reachedTime) {
		l.cutOff = false
	}
	return l.cutOff
}

// linkWatcher checks whether this VM reaches replicas. While it reaches none, other VMs
// answer its callers: the load balancer may have no other VM for them, and open
// connections stay.
type linkWatcher struct {
	forwarder *forward.Forwarder
	prober    *prober
	helpers   *helperSet
	dial      exchange.DialFunc
	log       logrus.FieldLogger

	links links
	// coverageCheckedAt is when shards were last found missing.
	coverageCheckedAt time.Time
}

// run checks until ctx ends.
func (w *linkWatcher) run(ctx context.Context) {
	defer w.helpers.close()
	for wait.Sleep(ctx, linkCheckInterval) {
		if view := w.forwarder.View(); view != nil {
			w.check(ctx, view)
		}
	}
}

// check checks the links if there is a sign that they are lost.
func (w *linkWatcher) check(ctx context.Context, view *forward.View) {
	now := time.Now()
	failed := w.prober.failedWithin(w.forwarder.LastAnswer(now))
	covered := view.ReplicasReachable()
	if !w.links.cutOff && failed < minFailedReplicas && (covered || now.Sub(w.coverageCheckedAt) < coverageCheckInterval) {
		return
	}
	if !covered {
		w.coverageCheckedAt = now
	}
	addrs := sampleReplicaAddrs(view)
	reached := reachable(ctx, w.dial, addrs)
	before := w.links.cutOff
	cutOff := w.links.update(linkEvidence{
		at: time.Now(), dialled: len(addrs), reached: reached, answered: w.forwarder.LastAnswer(time.Now()) < time.Since(now), covered: covered,
	})
	if cutOff {
		w.helpers.refresh(ctx)
		w.forwarder.SetCutOff(true, w.helpers.list())
	} else if before {
		w.forwarder.SetCutOff(false, nil)
		w.helpers.close()
	}
	if cutOff != before {
		w.log.WithFields(logrus.Fields{
			"cut_off": cutOff, "dialled": len(addrs), "reached": reached, "failed_replicas": failed, "covered": covered,
			"last_answer_ms": w.forwarder.LastAnswer(now).Milliseconds(), "helpers": len(w.helpers.list()),
		}).Warn("links to all replicas lost or back")
	}
}

// sampleReplicaAddrs returns the addresses of some random replicas, spread over the
// failure domains.
func sampleReplicaAddrs(view *forward.View) []string {
	byDomain := map[string][]string{}
	for _, rs := range view.ReplicaSets {
		for _, u := range rs.Upstreams {
			byDomain[u.Member.Domain] = append(byDomain[u.Member.Domain], u.Member.Addr)
		}
	}
	var addrs []string
	for len(addrs) < maxLinkDials && len(byDomain) > 0 {
		for domain, all := range byDomain {
			i := rand.IntN(len(all))
			if len(addrs) < maxLinkDials {
				addrs = append(addrs, all[i])
			}
			all[i] = all[len(all)-1]
			if byDomain[domain] = all[:len(all)-1]; len(all) == 1 {
				delete(byDomain, domain)
			}
		}
	}
	return addrs
}
