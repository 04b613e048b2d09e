package rollout

import (
	"fmt"
	"sync"
	"time"
)

const (
	// canaryReports and shiftReports are the reports a second of all VMs together for one
	// service, whatever their number. In the shift the next decision has less time.
	canaryReports = 1.0
	shiftReports  = 3.0
	// fullRate is the number of roll-outs at a time up to which each is reported at that
	// rate. The VMs that report know their own part of the evidence at once in any case.
	fullRate = 4
	// retryDelay is the pause after a report that another write has overtaken; the other
	// write is known by then.
	retryDelay = 100 * time.Millisecond
	// FlushInterval is the interval at which a VM passes its evidence on to the VM that
	// feeds it.
	FlushInterval = 250 * time.Millisecond
	// turnStep and maxTurn set how long a VM waits before it writes a decision: a step
	// for each VM that is ranked before it. A write is known to all VMs within a step.
	turnStep = 250 * time.Millisecond
	maxTurn  = 8
)

// TurnDelay returns how long the VM of a rank waits before it writes a decision, so that
// mostly one does.
func TurnDelay(rank int) time.Duration {
	if rank < 0 || rank > maxTurn {
		rank = maxTurn
	}
	return time.Duration(rank) * turnStep
}

// Reporter holds the evidence that this VM and those that it feeds have gathered and the
// agreement does not contain yet. When it is reported does not depend on whether answers
// are bad, so that what is known is a fair sample. It is safe for concurrent use.
type Reporter struct {
	mu        sync.Mutex
	vm        string
	startedAt time.Time
	reports   int
	// unreported is what no report contains, sent what one does whose outcome is not
	// known.
	unreported, sent Evidence
	sentID           string
	// notBefore is when the next report may be tried.
	notBefore time.Time
}

// NewReporter returns the reporter of a VM for a roll-out that began at startedAt.
func NewReporter(vm string, startedAt time.Time) *Reporter {
	return &Reporter{vm: vm, startedAt: startedAt}
}

// Record counts an answer.
func (r *Reporter) Record(now, shiftedAt time.Time, answer Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreported.Record(WindowAt(now, r.startedAt, shiftedAt), answer)
}

// Absorb adds the evidence of a VM that this one feeds.
func (r *Reporter) Absorb(evidence Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreported.Add(evidence)
}

// Flush returns what was not reported and forgets it, for a VM that passes it on.
func (r *Reporter) Flush() Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	flushed := r.unreported
	r.unreported = Evidence{}
	return flushed
}

// Evidence returns what the agreement does not contain yet.
func (r *Reporter) Evidence() Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent.Plus(r.unreported)
}

// Take returns the next report if there is one and it is due. The VMs of the first ranks,
// which watch the store, report in turn; running is the number of roll-outs. Settle or Retry must follow once the outcome is
// known, Reconcile if it is not.
func (r *Reporter) Take(now time.Time, rank, watchers, running int, shifting bool) (id string, delta Evidence, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if fresh, _ := r.unreported.NewAnswers(); r.sentID != "" || fresh == 0 {
		return "", Evidence{}, false
	}
	rate := canaryReports
	if shifting {
		rate = shiftReports
	}
	period := time.Duration(float64(watchers) / rate * max(1, float64(running)/fullRate) * float64(time.Second))
	if r.notBefore.IsZero() {
		// The next turn of this rank in a period.
		offset := time.Duration(float64(rank%max(1, watchers)) / float64(max(1, watchers)) * float64(period))
		turns := now.Sub(r.startedAt.Add(offset))/period + 1
		r.notBefore = r.startedAt.Add(offset + turns*period)
	}
	if now.Before(r.notBefore) {
		return "", Evidence{}, false
	}
	r.notBefore = time.Time{}
	r.reports++
	r.sentID = fmt.Sprint(r.vm, "/", r.reports)
	r.sent, r.unreported = r.unreported, Evidence{}
	return r.sentID, r.sent, true
}

// Settle records that the report was written.
func (r *Reporter) Settle(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sentID == id {
		r.sentID, r.sent = "", Evidence{}
	}
}

// Retry records that the report was not written.
func (r *Reporter) Retry(now time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sentID != id {
		return
	}
	r.unreported, r.sentID, r.sent = r.sent.Plus(r.unreported), "", Evidence{}
	r.notBefore = now.Add(retryDelay)
}

// Reconcile settles or retries a report whose outcome is unknown by a later state of
// the agreement.
func (r *Reporter) Reconcile(now time.Time, a *Agreement) {
	r.mu.Lock()
	id := r.sentID
	r.mu.Unlock()
	switch {
	case id == "":
	case a.Contains(id):
		r.Settle(id)
	default:
		r.Retry(now, id)
	}
}
