package forward

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/exchange"
	"github.com/nutmeghitch/nutmeghitch/pkg/replica"
)

// recordRequestLimit records the request limit that a replica's answer names. An
// answer without one means that there is none only if the replica ran the request.
func (f *Forwarder) recordRequestLimit(u *Upstream, now, sentAt time.Time, reply exchange.Reply, requestID string) {
	value := reply.Header.Get(f.headers.RequestLimit)
	var limit replica.RequestLimit
	switch perSecond, err := strconv.ParseFloat(value, 64); {
	case reply.Status == http.StatusMisdirectedRequest:
		return // another replica's answer
	case value == "" && (f.notRun(reply) || reply.Header.Get(f.headers.Receipt) == ""):
		return
	case value == "":
	case err != nil || !validLimit(perSecond):
		f.log.WithFields(logrus.Fields{"id": requestID, "replica": u.Member.ID, "value": value}).Warn("request limit ignored: not a number of requests a second")
		return
	default:
		limit = replica.RequestLimit{PerSecond: perSecond, Named: true}
	}
	if f.applyRequestLimit(u, now, sentAt, limit, requestID) {
		f.observer.RequestLimitChanged(u)
	}
}

// validLimit reports whether a number can be a request limit.
func validLimit(perSecond float64) bool { return perSecond >= 0 && !math.IsInf(perSecond, 0) }

// applyRequestLimit records a request limit, and logs it if it has changed. It reports
// whether it has.
func (f *Forwarder) applyRequestLimit(u *Upstream, now, sentAt time.Time, limit replica.RequestLimit, requestID string) bool {
	before, sends, changed := u.Tracker.RecordRequestLimit(now, sentAt, limit)
	if !changed {
		return false
	}
	f.log.WithFields(logrus.Fields{
		"id": requestID, "replica": u.Member.ID, "service": u.Member.Service,
		"limited": limit.Named, "per_second": limit.PerSecond, "before_per_second": before.PerSecond,
		"first_sends": sends[replica.FirstSend], "extra_sends": sends[replica.ExtraSend], "relayed_sends": sends[replica.RelayedSend],
	}).Info("request limit of a replica changed")
	return true
}
