package forward

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/relay"
	"github.com/nutmeghitch/nutmeghitch/pkg/replica"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// relayReportLead is how long before the hedges of a query another VM reports which
// of its shards have not answered.
const relayReportLead = 5 * time.Millisecond

// relayGraceShare of the target is how long after the first hedges the shards of a VM
// that has not reported anything are hedged.
const relayGraceShare = 0.1

// relayOutcome is a part of the outcome of a relayed request.
type relayOutcome struct {
	group *relayGroup
	reply *wire.RelayReply
	// refusal ends the request; shards without an outcome have failed with it.
	refusal *errs.Refusal
}

// sendAll sends the request of each shard that is not skipped, through other VMs
// where that saves sends.
func (q *query) sendAll(now time.Time) {
	if len(q.head)+len(q.body) > relay.MaxRequestBytes || !q.route.Idempotent {
		q.sendDirect(now, q.shards)
		return
	}
	peers := q.forwarder.view.Load().RelayPeers
	groups, direct := planRelays(now, q.usualLatency(), q.shards, peers, int(randomFraction()*float64(len(peers)+1)))
	for i := range groups {
		q.sendThrough(now, &groups[i])
	}
	q.sendDirect(now, direct)
}

func (q *query) sendDirect(now time.Time, shards []*shard) {
	for _, s := range shards {
		if !s.skipped && len(s.tried) == 0 {
			q.sendToCheapest(now, s)
		}
	}
}

// sendThrough relays the request of some shards to another VM.
func (q *query) sendThrough(now time.Time, g *relayGroup) {
	request := &wire.RelayRequest{
		RequestID: q.id, Route: q.route.Name, Attempt: q.attempt.ID, Method: q.method, Head: q.head, Body: q.body,
		Fingerprint: q.attempt.Fingerprint, Exact: q.attempt.Exact, Former: q.attempt.Former, TopK: q.route.TopK,
		Usual: q.usualLatency(), Left: q.sendDeadline(now).Sub(now),
		FirstReply: max(time.Millisecond, q.hedgeDelay()-relayReportLead), End: q.start.Add(q.cutoff).Sub(now),
	}
	for i, s := range g.shards {
		g.upstreams[i].Tracker.Begin(now)
		s.tried = append(s.tried, g.upstreams[i])
		s.relayed, s.relayedTo = g.peer, g.upstreams[i]
		s.openSendCount++
		s.attempts++
		q.sends++
		request.Services = append(request.Services, s.service)
	}
	q.relays++
	replicaSets := make([]*ReplicaSet, len(g.shards))
	for i, s := range g.shards {
		replicaSets[i] = s.replicas
	}
	go func() {
		t := relayTracking{start: now, upstreams: g.upstreams, ended: make([]bool, len(g.upstreams))}
		defer t.endOpen()
		refusal := g.peer.Do(q.ctx, request, func(reply *wire.RelayReply) {
			now := time.Now()
			t.record(now, reply)
			q.forwarder.hearRelayed(now, replicaSets, reply, q.id)
			q.results <- sendResult{relay: &relayOutcome{group: g, reply: reply}}
		})
		if refusal == nil {
			return
		}
		if q.ctx.Err() == nil {
			q.forwarder.view.Load().relayFailed(g.peer)
		}
		q.results <- sendResult{relay: &relayOutcome{group: g, refusal: refusal}}
	}()
}

// handleRelayOutcome applies what another VM has reported of its shards.
func (q *query) handleRelayOutcome(o *relayOutcome) {
	now := time.Now()
	if o.refusal != nil {
		q.forwarder.log.WithFields(logrus.Fields{
			"id": q.id, "vm": o.group.peer.VM, "domain": o.group.peer.Domain, "code": o.refusal.Code, "detail": o.refusal.Detail,
		}).Info("relay of a request failed")
		q.endRelay(now, o.group, o.refusal)
		return
	}
	merged := false
	for _, a := range o.reply.Answered {
		if s := o.group.take(a.Service); s != nil {
			// A hedge of the shard may have answered before. Its records are among
			// the merged ones, so its own are left out.
			s.openSendCount--
			s.mayHaveRun, s.answered, merged = true, true, true
			q.recordAnswerLatency(a.Latency)
			s.reply = &exchange.Reply{Header: exchange.Header{{Name: q.forwarder.headers.Receipt, Value: a.Receipt}}}
			if q.hedgePolicy != nil {
				q.hedgePolicy.Observe(a.Latency)
			}
		}
	}
	if merged {
		q.relayedRecords = append(q.relayedRecords, o.reply.Records)
	}
	for _, f := range o.reply.Failed {
		if f.Failure.Code == errs.Stopping {
			o.group.peer.Failed()
		}
		if s := o.group.take(f.Service); s != nil {
			q.failRelayed(now, s, o.group.upstreams[f.Service], errs.As(f.Failure.Err()), f.ReachedReplica)
		}
	}
	if o.reply.Done {
		q.endRelay(now, o.group, errs.Ambiguous(errs.DeadlineExceeded, "VM %s: no answer in time", o.group.peer.VM))
	}
}

// relayedOutcome returns what a failure that another VM reports says of the replica.
func relayedOutcome(refusal *errs.Refusal, reachedReplica bool) replica.Outcome {
	switch {
	case refusal.Code == errs.UpstreamShed:
		return replica.Shed
	case reachedReplica && refusal.Code != errs.DeadlineExceeded && refusal.Code != errs.Canceled, refusal.Code == errs.Overloaded:
		return replica.Failed
	default:
		return replica.Abandoned
	}
}

// take returns a shard of the group without an outcome, and removes it. It returns
// nil for an index that the other VM must not send.
func (g *relayGroup) take(i int) *shard {
	if i < 0 || i >= len(g.shards) {
		return nil
	}
	s := g.shards[i]
	g.shards[i] = nil
	return s
}

// relayTracking records the outcomes of a relayed request in the trackers of the
// replicas, also after the end of its query.
type relayTracking struct {
	start     time.Time
	upstreams []*Upstream
	// ended is set for the replicas whose outcome is recorded.
	ended []bool
}

func (t *relayTracking) record(now time.Time, reply *wire.RelayReply) {
	for _, a := range reply.Answered {
		t.end(now, a.Service, now.Add(-a.Latency), replica.Served)
	}
	for _, f := range reply.Failed {
		t.end(now, f.Service, t.start, relayedOutcome(errs.As(f.Failure.Err()), f.ReachedReplica))
	}
}

func (t *relayTracking) end(now time.Time, i int, start time.Time, outcome replica.Outcome) {
	if i >= 0 && i < len(t.ended) && !t.ended[i] {
		t.ended[i] = true
		t.upstreams[i].Tracker.End(now, start, outcome)
	}
}

// endOpen records the replicas without an outcome.
func (t *relayTracking) endOpen() {
	for i := range t.ended {
		t.end(time.Now(), i, t.start, replica.Abandoned)
	}
}

// endRelay fails the shards that have no outcome.
func (q *query) endRelay(now time.Time, g *relayGroup, refusal *errs.Refusal) {
	for i := range g.shards {
		if s := g.take(i); s != nil {
			q.failRelayed(now, s, g.upstreams[i], refusal, refusal.RunState == errs.MayHaveRun)
		}
	}
}

// failRelayed applies a failed relayed send to its shard, as handleResult does with
// a send of this VM. A replica that was not reached may be tried directly.
func (q *query) failRelayed(now time.Time, s *shard, u *Upstream, refusal *errs.Refusal, reachedReplica bool) {
	s.openSendCount--
	if !reachedReplica {
		s.forget(u)
	}
	s.refusal = refusal
	if refusal.RunState == errs.DidNotRun {
		s.attempts--
	} else {
		q.brokenOff++
		s.brokenOff = true
		s.mayHaveRun = true
	}
	if refusal.Code == errs.Poisoned {
		return // the other VM knows that the request crashes replicas
	}
	q.retry(now, s, reachedReplica)
}

// forget makes a replica available for a direct send: the relayed one has not
// reached it, or nobody knows.
func (s *shard) forget(u *Upstream) {
	s.tried = slices.DeleteFunc(s.tried, func(tried *Upstream) bool { return tried == u })
}

// silentRelays returns the VMs that have reported nothing yet of any shard.
func (q *query) silentRelays() map[*relay.Peer]bool {
	silent := map[*relay.Peer]bool{}
	for _, s := range q.shards {
		if s.relayed != nil {
			silent[s.relayed] = true
		}
	}
	for _, s := range q.shards {
		if s.relayed != nil && (s.answered || s.openSendCount == 0) {
			delete(silent, s.relayed)
		}
	}
	return silent
}
