package claim

import (
	"context"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// Timeouts and limits of operations that are sent to a claim owner.
const (
	// OwnerTimeout is how long a VM waits for the first reply of a partition's
	// claim owner before it updates the partition itself as well.
	OwnerTimeout = 250 * time.Millisecond
	// ownerTimeoutDivisor shortens that wait to a quarter of the remaining time
	// of requests with short deadlines.
	ownerTimeoutDivisor = 4
	// acceptedTimeoutDivisor gives an owner that has accepted the operation half
	// of the remaining time. Such an owner may only be waiting for a slow
	// platform, where updates by a second VM would add conflicts.
	acceptedTimeoutDivisor = 2
	// maxPeerOpTime bounds how long an operation of a peer is retried.
	maxPeerOpTime = 10 * time.Minute
	// maxPartitions bounds the partition number in a peer's request.
	maxPartitions = 1 << 16
)

// Limits on the replies to one operation.
const (
	// maxOwnerReplies counts ClaimAccepted, ClaimWaiting and the final result.
	maxOwnerReplies = 3
	// maxReplies adds a failure of the exchange with the owner, and ClaimWaiting
	// and the final result from the local committer.
	maxReplies = maxOwnerReplies + 1 + 2
)

// opReply is a result and its source: the claim owner or the local committer.
type opReply struct {
	fromOwner bool
	result    Result
}

// opRunner is the state of one operation during runOp.
type opRunner struct {
	service   *Service
	partition int
	op        Op
	attempt   Attempt
	// replies has room for all replies of the owner and of the local committer, so
	// that sending to it never blocks.
	replies chan opReply
	// localID is the operation's id at the local committer, 0 if it is not there.
	localID uint64
}

// runOp submits the operation to the partition's claim owner, and to this VM's
// own committer if the owner cannot be reached or is slow. It returns the settled
// attempt when ctx ends at the latest. Operations other than ClaimTake are
// retried in the background until their own deadline.
func (s *Service) runOp(ctx context.Context, partition int, op Op) *Attempt {
	r := &opRunner{service: s, partition: partition, op: op, replies: make(chan opReply, maxReplies)}
	ctx, cancel := context.WithDeadline(ctx, op.Deadline.Add(maxReplyMargin))
	defer cancel()
	var ownerTimer *time.Timer
	if owner, ok := s.owner(partition); ok {
		r.attempt.Submitted()
		s.background.start(func() { s.askOwner(ctx, owner, r) })
		ownerTimer = time.NewTimer(min(remaining(ctx)/ownerTimeoutDivisor, OwnerTimeout))
	} else {
		ownerTimer = time.NewTimer(remaining(ctx))
		ownerTimer.Stop() // there is no owner to wait for
		r.startLocal()
	}
	defer ownerTimer.Stop()
	for {
		select {
		case reply := <-r.replies:
			if r.handleReply(reply) {
				r.finish()
				return &r.attempt
			}
			switch {
			case reply.fromOwner && reply.result.Verdict == wire.ClaimAccepted:
				ownerTimer.Reset(remaining(ctx) / acceptedTimeoutDivisor)
			case reply.fromOwner && reply.result.Verdict == wire.ClaimWaiting:
				ownerTimer.Stop()
			}
		case <-ownerTimer.C:
			s.config.Log.Infof("claim owner of %s gave no result in time; this VM updates the partition itself", ObjectKey(partition))
			r.startLocal()
		case <-ctx.Done():
			r.expire()
			return &r.attempt
		}
	}
}

// handleReply adds a result to the attempt and reports whether that settles it.
// If the owner failed, the operation is submitted to the local committer first,
// so that the failure does not settle the attempt.
func (r *opRunner) handleReply(p opReply) bool {
	if p.fromOwner && p.result.Verdict == wire.ClaimUnavailable {
		r.startLocal()
	}
	return r.attempt.AddResult(p.result)
}

// startLocal submits the operation to the local committer, unless that was done
// before.
func (r *opRunner) startLocal() {
	if r.localID != 0 {
		return
	}
	r.attempt.Submitted()
	r.localID = r.service.committer(r.partition).submit(r.op, func(result Result) { r.replies <- opReply{result: result} })
}

// finish withdraws a settled ClaimTake from the local committer. Other operations
// stay there and have no effect if the owner has already stored them.
func (r *opRunner) finish() {
	if r.localID != 0 && r.op.Step == wire.ClaimTake {
		r.service.committer(r.partition).withdraw(r.localID)
	}
}

// expire settles the attempt at the end of the context. It first adds the results
// that arrived at the same time. If none of them says what became of an outcome
// or a release, that operation goes to the local committer: the owner's failure
// settles the attempt, but the operation must still be stored.
func (r *opRunner) expire() {
	for settled := false; !settled; {
		select {
		case p := <-r.replies:
			settled = r.attempt.AddResult(p.result)
		default:
			settled = r.attempt.Expire()
		}
	}
	verdict := r.attempt.Result().Verdict
	if r.op.Step != wire.ClaimTake && (verdict == wire.ClaimUnavailable || verdict == wire.ClaimUnknown) {
		r.startLocal()
	}
	r.finish()
}

// remaining returns the time to the deadline of ctx, which runOp has set.
func remaining(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return max(0, time.Until(deadline))
}

// askOwner sends the operation to the claim owner and forwards its replies to r.
func (s *Service) askOwner(ctx context.Context, owner model.VM, r *opRunner) {
	noResult := Result{Verdict: wire.ClaimUnavailable, MayBeStored: true}
	stream, err := s.config.Transport.Open(ctx, owner, &wire.ClaimRequest{
		Partition: r.partition, Step: r.op.Step, KeyHash: r.op.KeyHash, Token: r.op.Token, Fingerprint: r.op.Fingerprint,
		Status: r.op.Status, Answer: r.op.Answer, Remaining: time.Until(r.op.Deadline),
	})
	if err != nil {
		noResult.MayBeStored = errs.As(err).RunState == errs.MayHaveRun
		s.config.Log.Infof("claim owner %s of %s cannot be reached: %v", owner.ID, ObjectKey(r.partition), err)
		r.replies <- opReply{true, noResult}
		return
	}
	defer stream.Close()
	for range maxOwnerReplies {
		m, err := stream.Recv(ctx)
		reply, ok := m.(*wire.ClaimReply)
		if err != nil || !ok || reply.Token != r.op.Token || reply.KeyHash != r.op.KeyHash {
			r.replies <- opReply{true, noResult}
			return
		}
		result := Result{Verdict: reply.Verdict, Status: reply.Status, Answer: reply.Answer, MayBeStored: reply.MayBeStored}
		r.replies <- opReply{true, result}
		if reply.Verdict.Final() {
			return
		}
	}
	r.replies <- opReply{true, noResult}
}

// Handle serves a ClaimRequest of a peer. It implements wire.Handler. This VM
// need not be the owner of the partition: a claim is valid because of the
// conditional update, whichever VM makes it.
func (s *Service) Handle(ctx context.Context, from model.VMID, first wire.Message, in <-chan wire.Message, reply func(wire.Message) error) {
	request, ok := first.(*wire.ClaimRequest)
	if !ok || len(request.KeyHash) != keyHashBytes || request.Token == "" ||
		request.Partition < 0 || request.Partition >= maxPartitions {
		s.config.Log.Warnf("malformed claim request from VM %s dropped", from)
		return
	}
	op := Op{
		Step: request.Step, KeyHash: request.KeyHash, Token: request.Token, Fingerprint: request.Fingerprint,
		Status: request.Status, Answer: request.Answer, Deadline: time.Now().Add(min(request.Remaining, maxPeerOpTime)),
	}
	results := make(chan Result, maxReplies)
	results <- Result{Verdict: wire.ClaimAccepted}
	c := s.committer(request.Partition)
	id := c.submit(op, func(r Result) { results <- r })
	for {
		select {
		case r := <-results:
			m := &wire.ClaimReply{
				KeyHash: op.KeyHash, Token: op.Token, Verdict: r.Verdict, Status: r.Status, Answer: r.Answer, MayBeStored: r.MayBeStored,
			}
			if err := reply(m); err != nil || r.Verdict.Final() {
				return
			}
		case <-ctx.Done():
			if op.Step == wire.ClaimTake {
				c.withdraw(id)
			}
			return
		}
	}
}

// owner returns the claim owner of a partition. It reports false if this VM is
// the owner or no VM is alive.
func (s *Service) owner(partition int) (model.VM, bool) {
	view := s.config.View.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ownersView != view {
		s.ownersView = view
		clear(s.owners)
	}
	vm, ok := s.owners[partition]
	if !ok {
		vm = s.highestRanked(view, ObjectKey(partition))
		s.owners[partition] = vm
	}
	return vm, vm.ID != s.config.Self.ID && vm.ID != ""
}

// highestRanked returns the alive VM with the highest rank for the key, or the
// zero VM if none is alive.
func (s *Service) highestRanked(view *model.View, key string) model.VM {
	alive := make([]model.VM, 0, len(view.VMs))
	for _, vm := range view.VMs {
		if vm.State == model.Alive {
			alive = append(alive, vm)
		}
	}
	ranked := s.config.Rank(key, alive)
	if len(ranked) == 0 {
		return model.VM{}
	}
	return view.VMs[ranked[0]]
}
