package replica

import (
	"math"
	"time"
)

const (
	// usableLimitShare is the part of a replica's request limit that is given out to
	// the VMs. The rest is a reserve for VMs that have just joined and are not counted
	// yet, and for health probes after a restart.
	usableLimitShare = 0.8
	// permitLifetime is how long a permit to send may be used. In any period, all VMs
	// together then send at most what the limit allows in the period and this time.
	permitLifetime = time.Second
	// minLimitPerSecond is the least limit that is kept. A replica that gets no request
	// could not tell that its limit has ended.
	minLimitPerSecond = 0.5
	// sharedLimitLag is how long a report of another VM may take. Answers to this VM
	// that are not older outweigh a report.
	sharedLimitLag = time.Second
	// minLimitChange is the relative change of a limit that is reported and changes the
	// schedule of permits. A replica may name a slightly different limit in each answer.
	minLimitChange = 0.1
	// limitStep is the ratio of the limits for which permits are scheduled. VMs that were
	// named slightly different limits then have a common schedule.
	limitStep = 1.05
)

// SendKind tells why a request is sent to a replica.
type SendKind uint8

// Kinds of sends.
const (
	// FirstSend is the first send of a request to a service.
	FirstSend SendKind = iota
	// ExtraSend is a hedge or a retry.
	ExtraSend
	// RelayedSend is a send for another VM.
	RelayedSend
	sendKinds
)

// SendCounts holds the number of sends by kind.
type SendCounts [sendKinds]int

// RequestLimit is the limit that a replica in need names in its answers: the
// requests a second that it accepts from all VMs together.
type RequestLimit struct {
	// PerSecond is the limit, and Named whether there is one.
	PerSecond float64
	Named     bool
}

// requestLimit is what a Tracker knows of the limit of its replica.
type requestLimit struct {
	current RequestLimit
	// reported is the limit that was reported last. It sets the schedule of permits.
	reported RequestLimit
	// namedAt is when an answer named the limit last.
	namedAt time.Time
	// sends counts the requests of this VM since that report.
	sends SendCounts
	// vms is the number of VMs that share the limit, and position that of this VM
	// among them.
	vms, position int
	permits       permitSchedule
}

// permitSchedule gives out the permits of one VM to send to a replica with a request
// limit. The VMs get permits in turn by the time of day, so that all of them together
// keep the limit without a message for each request, whatever the load of each VM is.
type permitSchedule struct {
	// lastTaken is the time of the last permit that was taken. Earlier ones are void.
	lastTaken time.Time
}

// share is the part of one VM in a limit: a permit in each interval, at an offset from
// the multiples of the interval since the Unix epoch.
type share struct{ interval, offset time.Duration }

// shareOf returns the part of a limit that the VM at the position has.
func shareOf(limit RequestLimit, vms, position int) share {
	vms = max(1, vms)
	steps := math.Floor(math.Log(max(minLimitPerSecond, limit.PerSecond)) / math.Log(limitStep))
	perSecond := usableLimitShare * math.Pow(limitStep, steps)
	interval := max(1, float64(vms)/perSecond*float64(time.Second))
	return share{interval: time.Duration(interval), offset: time.Duration(interval * float64(position%vms) / float64(vms))}
}

// lastUntil returns the time of the last permit that is not later than t.
func (s share) lastUntil(t time.Time) time.Time {
	sinceOffset := t.UnixNano() - int64(s.offset)
	return t.Add(-time.Duration(sinceOffset % int64(s.interval)))
}

// next returns the permit that would be taken at now, and whether its time has come.
// Permits are an interval apart also when the share has changed in between: the times of
// the new share may fall just after the last permit of the old one.
func (p *permitSchedule) next(now time.Time, s share) (time.Time, bool) {
	earliest := p.lastTaken.Add(s.interval)
	if valid := now.Add(-permitLifetime); valid.After(earliest) {
		earliest = valid
	}
	permit := s.lastUntil(earliest)
	if permit.Before(earliest) {
		permit = permit.Add(s.interval)
	}
	return permit, !permit.After(now)
}

// take takes a permit if there is one.
func (p *permitSchedule) take(now time.Time, s share) bool {
	permit, ok := p.next(now, s)
	if ok {
		p.lastTaken = permit
	}
	return ok
}

// RecordRequestLimit records the limit that an answer names, or that it names none.
// The request of the answer was sent at sentAt. An answer without a limit counts only
// if its request was sent after the limit was last named: an earlier one may have
// been answered before the replica was in need. The result is the limit before,
// with the sends of this VM while it was in force, and whether it has changed by so
// much that it should be reported.
func (t *Tracker) RecordRequestLimit(now, sentAt time.Time, limit RequestLimit) (before RequestLimit, sends SendCounts, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := &t.requestLimit
	if limit.Named {
		l.namedAt = now
	} else if !sentAt.After(l.namedAt) {
		return l.current, l.sends, false
	}
	before, sends = l.reported, l.sends
	l.current = limit
	if before.Named == limit.Named && math.Abs(limit.PerSecond-before.PerSecond) <= minLimitChange*before.PerSecond {
		return before, sends, false
	}
	l.follow(now)
	return before, sends, true
}

// ShareRequestLimit applies a limit that another VM has reported, or that the report
// was withdrawn. It reports whether the limit has changed.
func (t *Tracker) ShareRequestLimit(now time.Time, limit RequestLimit) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := &t.requestLimit
	if l.current == limit || (l.current.Named && now.Sub(l.namedAt) < sharedLimitLag) {
		return false
	}
	l.namedAt, l.current = now, limit
	l.follow(now)
	return true
}

// follow makes the schedule follow the current limit. Permits of the time without one are void.
func (l *requestLimit) follow(now time.Time) {
	started := l.current.Named && !l.reported.Named
	l.reported, l.sends = l.current, SendCounts{}
	if started {
		l.permits.lastTaken = now.Add(-l.share().interval)
	}
}

// RequestLimit returns the limit that the replica names.
func (t *Tracker) RequestLimit() RequestLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requestLimit.current
}

// SetVMs sets how many VMs share a request limit of the replica, and the position of
// this VM among them.
func (t *Tracker) SetVMs(vms, position int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requestLimit.vms, t.requestLimit.position = vms, position
}

// CountSend counts a request that is sent to the replica.
func (t *Tracker) CountSend(kind SendKind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requestLimit.sends[kind]++
}

// AllowProbe reports whether a health probe may be sent now, and counts it towards
// the request limit.
func (t *Tracker) AllowProbe(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !now.Before(t.told.PausedUntil) && t.requestLimit.allow(now)
}

// WaitForPermit returns the time until the pause that the replica wants is over and its
// request limit allows this VM a request, 0 if it may be sent one now.
func (t *Tracker) WaitForPermit(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := max(0, t.told.PausedUntil.Sub(now))
	l := &t.requestLimit
	if !l.current.Named {
		return wait
	}
	permit, _ := l.permits.next(now, l.share())
	return max(wait, permit.Sub(now))
}

// share returns the part of this VM in the limit.
func (l *requestLimit) share() share { return shareOf(l.reported, l.vms, l.position) }

// hasRoom reports whether one more request may be sent now.
func (l *requestLimit) hasRoom(now time.Time) bool {
	if !l.current.Named {
		return true
	}
	_, ok := l.permits.next(now, l.share())
	return ok
}

// allow reports whether a request may be sent now and, if so, counts it.
func (l *requestLimit) allow(now time.Time) bool {
	return !l.current.Named || l.permits.take(now, l.share())
}
