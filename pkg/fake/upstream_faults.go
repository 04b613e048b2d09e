package fake

import "time"

// ReplyFault is a way in which the reply to a run goes wrong. The run itself
// completes.
type ReplyFault uint8

// Reply faults.
const (
	// ReplyIntact is no fault.
	ReplyIntact ReplyFault = iota
	// ReplyTruncated sends half of the body and closes the connection.
	ReplyTruncated
	// ReplyMisaddressed carries the id of another request.
	ReplyMisaddressed
	// ReplyMiscounted has a row_count that differs from the number of rows.
	ReplyMiscounted
	// ReplyOversized has a body of more than 8 MiB.
	ReplyOversized
	// ReplyMalformed is not JSON.
	ReplyMalformed
	// ReplyLost closes the connection instead of answering.
	ReplyLost
	// ReplyOtherVersion names another index version.
	ReplyOtherVersion
)

// faults holds the switches of an upstream.
type faults struct {
	slow      float64
	draining  bool
	hang      chan struct{} // not nil while runs hang; closed when they go on
	shed      int
	crashOn   func(UpstreamRequest) bool
	reply     ReplyFault
	replyLeft int
}

// SetSlow multiplies service times by factor; 1 is normal.
func (u *Upstream) SetSlow(factor float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults.slow = factor
}

// SetTail makes a share of the runs take factor times as long.
func (u *Upstream) SetTail(share, factor float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.config.TailChance = share
	u.config.TailFactor = factor
}

// Drain starts or ends draining: new runs are refused with code "draining",
// runs in progress complete.
func (u *Upstream) Drain(on bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults.draining = on
}

// Hang makes runs wait, also those in progress, until it is switched off, or
// they are cancelled or reach their deadline.
func (u *Upstream) Hang(on bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if on == (u.faults.hang != nil) {
		return
	}
	if on {
		u.faults.hang = make(chan struct{})
		return
	}
	close(u.faults.hang)
	u.faults.hang = nil
}

// Shed refuses the next n sends with code "shed".
func (u *Upstream) Shed(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults.shed = n
}

// GoCold makes the running instance cold again without a sign of it.
func (u *Upstream) GoCold() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.setCold(true)
}

// CrashOn crashes the upstream whenever a run starts whose request matches;
// nil switches this off.
func (u *Upstream) CrashOn(match func(UpstreamRequest) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults.crashOn = match
}

// FailReplies gives the next n replies to completed runs the fault.
func (u *Upstream) FailReplies(fault ReplyFault, n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults.reply = fault
	u.faults.replyLeft = n
}

// nextReplyFault consumes one of the faults set by FailReplies.
func (u *Upstream) nextReplyFault() ReplyFault {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faults.replyLeft == 0 {
		return ReplyIntact
	}
	u.faults.replyLeft--
	return u.faults.reply
}

// PublishVersion adds or replaces an index version. Building its index happens
// before it becomes visible.
func (u *Upstream) PublishVersion(v IndexVersion) {
	u.config.Data.shards(v)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.versions[v.Version] = v
}

// DropVersion removes an index version. Runs in progress on it complete.
func (u *Upstream) DropVersion(version uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.versions, version)
}

// SetStatusLag sets the age that values in /status can have. A long lag
// freezes them.
func (u *Upstream) SetStatusLag(lag time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.config.StatusLag = lag
}
