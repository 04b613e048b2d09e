package limit

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/fairqueue"
)

// recentServiceTime returns the mean service time, or 0 if it is unknown or older than
// EstimateMaxAge.
func (l *Limiter) recentServiceTime(now time.Time) time.Duration {
	if now.Sub(l.serviceTimeUpdatedAt) > EstimateMaxAge {
		return 0
	}
	return l.meanServiceTime
}

// serviceTimeEstimate returns the time in which most requests finish: the mean service
// time plus a multiple of its deviation, or 0 if it is unknown.
func (l *Limiter) serviceTimeEstimate(now time.Time) time.Duration {
	mean := l.recentServiceTime(now)
	if mean == 0 {
		return 0
	}
	return mean + deviationFactor*l.meanDeviation
}

// startInterval estimates the mean time between two starts while requests are queued.
func (l *Limiter) startInterval(now time.Time) time.Duration {
	concurrency := l.window.Value()
	if concurrency >= 1 {
		concurrency = float64(min(l.window.Concurrency(), max(1, l.config.Slots)))
	}
	return time.Duration(float64(l.recentServiceTime(now)) / concurrency)
}

// checkRequest returns a refusal if the request must neither run nor wait.
func (l *Limiter) checkRequest(now time.Time, r Request) *errs.Refusal {
	if _, ok := l.running[r.ID]; ok {
		return errs.Refuse(errs.Internal, "request id %d is already running", r.ID)
	}
	if _, ok := l.waiting[r.ID]; ok {
		return errs.Refuse(errs.Internal, "request id %d is already queued", r.ID)
	}
	if !r.Deadline.After(now) {
		return errs.Refuse(errs.DeadlineExceeded, "deadline passed before the start")
	}
	return nil
}

// checkQueue returns a refusal if the queue has no place for the request or if the
// request cannot finish in time.
func (l *Limiter) checkQueue(now time.Time, r Request) *errs.Refusal {
	interval := l.startInterval(now)
	switch l.queue.CheckFit(r.Caller) {
	case fairqueue.Full:
		return errs.Refuse(errs.QueueFull, "queue of %d is full", l.config.QueueLimit).
			WithRetryAfter(retryAfter(interval * time.Duration(l.queue.Len())))
	case fairqueue.ShareExceeded:
		return errs.Refuse(errs.ShareExceeded, "caller holds its share of the queue of %d", l.config.QueueLimit).
			WithRetryAfter(retryAfter(interval * time.Duration(l.queue.CallerCount())))
	}
	excess := l.estimateCompletion(now, r) - r.Deadline.Sub(now)
	if excess <= 0 {
		return nil
	}
	return errs.Refuse(errs.Overloaded, "cannot finish before the deadline, needs %s more", excess).
		WithRetryAfter(retryAfter(excess))
}

// estimateCompletion estimates the time from now until a request that is queued now
// finishes. Running attempts are assumed to be half done.
func (l *Limiter) estimateCompletion(now time.Time, r Request) time.Duration {
	serviceTime := l.recentServiceTime(now)
	all, suspects := l.queue.CountAhead(r.Caller, r.Deadline)
	wait := time.Duration((float64(all) + 0.5) * float64(l.startInterval(now)))
	if r.Suspect {
		suspectWait := time.Duration((float64(suspects) + 0.5*float64(l.runningSuspects)) * float64(serviceTime))
		wait = max(wait, suspectWait)
	}
	return wait + l.serviceTimeEstimate(now)
}

// retryAfter returns the time to suggest for a retry, which is at least MinRetryAfter.
func retryAfter(d time.Duration) time.Duration {
	return max(d, MinRetryAfter)
}
