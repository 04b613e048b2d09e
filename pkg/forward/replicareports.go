package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/replica"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// replicaReports is the header field of an answer to another VM that holds what the
// replicas of the request have said of themselves: the answer does not name its replica,
// and that VM must not ask one that leaves, or wants a pause, after it has passed it on.
const replicaReports = "Nutmeghitch-Replica-Reports"

// maxReplicaReports bounds the reports of an answer.
const maxReplicaReports = 64

type readsReportsKey struct{}

// WithReplicaReports returns a context for the requests of a VM that reads the reports of
// replicas. VMs of older versions would pass them on to callers.
func WithReplicaReports(ctx context.Context) context.Context {
	return context.WithValue(ctx, readsReportsKey{}, true)
}

// addReplicaReports adds what the replicas of a request have said to the header of the
// answer, or of the refusal, to another VM.
func (q *query) addReplicaReports(now time.Time, h http.Header) {
	if !q.readsReports {
		return
	}
	var reports []wire.ReplicaReport
	for _, s := range q.shards {
		for _, u := range s.tried {
			if report, ok := reportOf(now, u); ok && len(reports) < maxReplicaReports {
				reports = append(reports, report)
			}
		}
	}
	if len(reports) == 0 {
		return
	}
	text, err := wire.EncodeReplicaReports(reports)
	if err != nil {
		q.forwarder.log.WithFields(logrus.Fields{"id": q.id, "error": err}).Error("encoding reports of replicas failed")
		return
	}
	h.Set(replicaReports, text)
}

// reportOf returns what a replica has said that still holds, and false if it has said
// nothing.
func reportOf(now time.Time, u *Upstream) (wire.ReplicaReport, bool) {
	told, limit := u.Tracker.Told(), u.Tracker.RequestLimit()
	report := wire.ReplicaReport{
		Service: u.Member.Service, Replica: u.Member.ID, Born: u.Member.Born,
		Leaving: told.Leaving, Pause: max(0, told.PausedUntil.Sub(now)), Limited: limit.Named, PerSecond: limit.PerSecond,
	}
	return report, report.Leaving || report.Pause > 0 || report.Limited
}

// takeReplicaReports removes the reports from the answer of another VM and records them.
func (q *query) takeReplicaReports(now time.Time, r *response, vm string) {
	text := r.header.Get(replicaReports)
	r.header.Del(replicaReports)
	if text == "" {
		return
	}
	reports, err := wire.DecodeReplicaReports(text)
	if err != nil {
		q.forwarder.log.WithFields(logrus.Fields{"id": q.id, "vm": vm, "error": err}).Warn("reports of replicas ignored")
		return
	}
	for _, report := range reports[:min(len(reports), maxReplicaReports)] {
		q.forwarder.hearReport(now, q.forwarder.view.Load().ReplicaSets[report.Service], report, q.id)
	}
}

// hearReport records what a replica has said to another VM. Born is 0 in the reports of
// a relay, which do not tell it.
func (f *Forwarder) hearReport(now time.Time, rs *ReplicaSet, report wire.ReplicaReport, requestID string) {
	if rs == nil {
		return
	}
	for _, u := range rs.Upstreams {
		if u.Member.ID != report.Replica || (report.Born != 0 && report.Born != u.Member.Born) {
			continue
		}
		told := replica.Told{Leaving: report.Leaving}
		if report.Pause > 0 {
			told.PausedUntil = now.Add(min(report.Pause, maxReplicaPause))
		}
		f.hear(u, now, told, requestID)
		if report.Limited && validLimit(report.PerSecond) {
			f.applyRequestLimit(u, now, now, replica.RequestLimit{PerSecond: report.PerSecond, Named: true}, requestID)
		}
	}
}
