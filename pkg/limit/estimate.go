package limit

import (
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/fairqueue"
)

// mean returns the mean service time, or 0 if it is unknown or old.
func (l *Limiter) mean(now time.Time) time.Duration {
	if now.Sub(l.serviceAt) > EstimateMaxAge {
		return 0
	}
	return l.service
}

// estimate returns the time that work needs to finish with some certainty, or
// 0 if it is not known.
func (l *Limiter) estimate(now time.Time) time.Duration {
	mean := l.mean(now)
	if mean == 0 {
		return 0
	}
	return mean + deviations*l.deviation
}

// pace is the mean time between two starts while work is waiting.
func (l *Limiter) pace(now time.Time) time.Duration {
	rate := l.window.Value()
	if rate >= 1 {
		rate = float64(min(l.window.Concurrency(), max(1, l.config.Slots)))
	}
	return time.Duration(float64(l.mean(now)) / rate)
}

// inadmissible refuses requests that must neither run nor wait.
func (l *Limiter) inadmissible(now time.Time, r Request) *errs.Refusal {
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

// unqueueable refuses requests that find no place or cannot finish in time.
func (l *Limiter) unqueueable(now time.Time, r Request) *errs.Refusal {
	pace := l.pace(now)
	switch l.queue.Room(r.Caller) {
	case fairqueue.Full:
		return errs.Refuse(errs.QueueFull, "queue of %d is full", l.config.QueueLimit).
			WithRetryAfter(retryAfter(pace * time.Duration(l.queue.Len())))
	case fairqueue.ShareExceeded:
		return errs.Refuse(errs.ShareExceeded, "caller holds its share of the queue of %d", l.config.QueueLimit).
			WithRetryAfter(retryAfter(pace * time.Duration(l.queue.Callers())))
	}
	finish := l.finish(now, r)
	late := finish - r.Deadline.Sub(now)
	if late <= 0 {
		return nil
	}
	return errs.Refuse(errs.Overloaded, "cannot finish before the deadline, needs %s more", late).
		WithRetryAfter(retryAfter(late))
}

// finish estimates the time until a request that has to wait is complete. A
// running attempt is taken to be half done.
func (l *Limiter) finish(now time.Time, r Request) time.Duration {
	service := l.mean(now)
	all, suspects := l.queue.Ahead(r.Caller, r.Deadline)
	wait := time.Duration((float64(all) + 0.5) * float64(l.pace(now)))
	if r.Suspect {
		alone := time.Duration((float64(suspects) + 0.5*float64(l.suspects)) * float64(service))
		wait = max(wait, alone)
	}
	return wait + l.estimate(now)
}

func retryAfter(d time.Duration) time.Duration {
	return max(d, MinRetryAfter)
}
