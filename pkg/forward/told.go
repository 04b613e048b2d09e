package forward

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/replica"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// maxReplicaPause bounds the pause that a replica can ask for. It is as long as what
// replicas say is remembered; a longer pause is more likely a mistake than a wish.
const maxReplicaPause = 10 * time.Minute

// hearAnswer records what an answer of a replica, to a request sent at sentAt, says of the
// replica itself: that it leaves, wants a pause, or names a request limit.
func (f *Forwarder) hearAnswer(u *Upstream, now, sentAt time.Time, reply exchange.Reply, requestID string) {
	f.recordRequestLimit(u, now, sentAt, reply, requestID)
	f.Hear(u, now, reply, requestID)
}

// Hear records what an answer of a replica says of the replica itself: that it leaves, or
// that it wants a pause. The answers to health probes name no request limit.
func (f *Forwarder) Hear(u *Upstream, now time.Time, reply exchange.Reply, requestID string) {
	told := replica.Told{Leaving: reply.Header.Get(f.headers.Leaving) == "1"}
	if value := reply.Header.Get("Retry-After"); value != "" && reply.Status == http.StatusServiceUnavailable {
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
			f.log.WithFields(logrus.Fields{"id": requestID, "replica": u.Member.ID, "value": value}).Warn("pause of a replica ignored: not a number of seconds")
		} else {
			told.PausedUntil = now.Add(time.Duration(min(seconds, maxReplicaPause.Seconds()) * float64(time.Second)))
		}
	}
	f.hear(u, now, told, requestID)
}

// hear records what a replica has said to this VM, or to one that relays or answers for it.
func (f *Forwarder) hear(u *Upstream, now time.Time, told replica.Told, requestID string) {
	if told == (replica.Told{}) || !u.Tracker.Hear(told) {
		return
	}
	f.log.WithFields(logrus.Fields{
		"id": requestID, "replica": u.Member.ID, "service": u.Member.Service, "leaving": told.Leaving, "pause_ms": max(0, told.PausedUntil.Sub(now).Milliseconds()),
	}).Info("replica leaves or wants a pause")
	f.observer.ReplicaTold(u)
}

// hearRelayed records what replicas have said to another VM that relays for this one.
func (f *Forwarder) hearRelayed(now time.Time, replicaSets []*ReplicaSet, reply *wire.RelayReply, requestID string) {
	hear := func(service int, report wire.ReplicaReport) {
		if service >= 0 && service < len(replicaSets) {
			f.hearReport(now, replicaSets[service], report, requestID)
		}
	}
	for _, l := range reply.Leaving {
		hear(l.Service, wire.ReplicaReport{Replica: l.Replica, Leaving: true})
	}
	for _, l := range reply.Limits {
		hear(l.Service, wire.ReplicaReport{Replica: l.Replica, Limited: true, PerSecond: l.PerSecond})
	}
}

// checkSend returns what keeps a request from being written to a replica that was picked
// for it, nil if it may be written. It is asked after the waits for a connection, in which
// the replica may have been withdrawn, the request have crashed others, or the caller's key
// have been removed. q is nil for a request of another VM, which has read the key.
func (f *Forwarder) checkSend(u *Upstream, fingerprint uint64, q *query) func() *errs.Refusal {
	return func() *errs.Refusal {
		now := time.Now()
		switch {
		case u.Tracker.Withdrawn():
			return errs.Refuse(errs.UpstreamDraining, "%s drains, has left or is out of service", u.Member.ID)
		case !u.Tracker.Wants(now):
			return errs.Refuse(errs.UpstreamDraining, "%s leaves or wants a pause", u.Member.ID)
		case f.ledger.Check(now, fingerprint) == poison.Blocked:
			return crashRefusal()
		case q == nil:
			return nil
		}
		return q.checkKey(now)
	}
}
