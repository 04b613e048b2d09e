package claim

import (
	"context"
	"time"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// OwnerTimeout is how long a VM waits for the first reply of a partition's
// claim owner before it updates the partition itself as well. A quarter of the
// request's remaining time is the bound for short deadlines.
const (
	OwnerTimeout      = 250 * time.Millisecond
	ownerTimeoutShare = 4
	// acceptedShare is the part of the remaining time that is left to an owner
	// that has accepted the operation: it may only be waiting for a slow
	// platform, where a second VM's updates would add conflicts.
	acceptedShare = 2
	// maxRemaining bounds how long a peer may have an operation tried.
	maxRemaining = 10 * time.Minute
	// maxPartitions bounds what a peer may name.
	maxPartitions = 1 << 16
)

// Replies that one operation can get: a ClaimAccepted, a ClaimWaiting and a
// result from the owner, a failure in place of more, and a ClaimWaiting and a
// result from the local committer.
const (
	ownerReplies = 3
	maxReplies   = ownerReplies + 1 + 2
)

// path tells where a result came from.
type path struct {
	remote bool
	result Result
}

// runner is one operation on its way.
type runner struct {
	service   *Service
	partition int
	op        Op
	attempt   Attempt
	// replies has room for all replies of both paths, so that sinks never
	// block.
	replies chan path
	local   uint64
}

// run gives the operation to the partition's claim owner, and to this VM's own
// committer when the owner cannot be reached or is slow. It returns the settled
// attempt at the end of ctx at the latest. Operations other than a take are
// tried again in the background until their own deadline.
func (s *Service) run(ctx context.Context, partition int, op Op) *Attempt {
	r := &runner{service: s, partition: partition, op: op, replies: make(chan path, maxReplies)}
	ctx, giveUp := context.WithDeadline(ctx, op.Deadline.Add(maxReplyMargin))
	defer giveUp()
	var slow *time.Timer
	if owner, ok := s.owner(partition); ok {
		r.attempt.Started()
		s.running.start(func() { s.ask(ctx, owner, r) })
		slow = time.NewTimer(min(remaining(ctx)/ownerTimeoutShare, OwnerTimeout))
	} else {
		slow = time.NewTimer(remaining(ctx))
		r.startLocal()
	}
	defer slow.Stop()
	for {
		select {
		case reply := <-r.replies:
			if r.take(reply) {
				r.end()
				return &r.attempt
			}
			switch {
			case reply.remote && reply.result.Verdict == wire.ClaimAccepted:
				slow.Reset(remaining(ctx) / acceptedShare)
			case reply.remote && reply.result.Verdict == wire.ClaimWaiting:
				slow.Stop()
			}
		case <-slow.C:
			s.config.Log.Infof("claim: owner of %s is slow, updating it here", ObjectKey(partition))
			r.startLocal()
		case <-ctx.Done():
			r.expire()
			return &r.attempt
		}
	}
}

// take passes a result to the attempt. The local committer is started before a
// failed owner could settle it.
func (r *runner) take(p path) bool {
	if p.remote && p.result.Verdict == wire.ClaimUnavailable {
		r.startLocal()
	}
	return r.attempt.Reply(p.result)
}

func (r *runner) startLocal() {
	if r.local != 0 {
		return
	}
	r.attempt.Started()
	r.local = r.service.committer(r.partition).submit(r.op, func(result Result) { r.replies <- path{result: result} })
}

// end withdraws a take that the owner has settled. Other operations are left
// to the local committer, which finds them done.
func (r *runner) end() {
	if r.local != 0 && r.op.Step == wire.ClaimTake {
		r.service.committer(r.partition).withdraw(r.local)
	}
}

// expire takes results that arrived together with the end of the context.
func (r *runner) expire() {
	for {
		select {
		case p := <-r.replies:
			if r.attempt.Reply(p.result) {
				r.end()
				return
			}
			continue
		default:
		}
		break
	}
	r.attempt.Expire()
	if r.op.Step != wire.ClaimTake {
		r.startLocal()
	}
	r.end()
}

// remaining returns the time to the deadline that run has set.
func remaining(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return max(0, time.Until(deadline))
}

// ask sends the operation to the claim owner and passes its replies on.
func (s *Service) ask(ctx context.Context, owner model.VM, r *runner) {
	lost := Result{Verdict: wire.ClaimUnavailable, Exposed: true}
	stream, err := s.config.Transport.Open(ctx, owner, &wire.ClaimRequest{
		Partition: r.partition, Step: r.op.Step, KeyHash: r.op.KeyHash, Token: r.op.Token, Fingerprint: r.op.Fingerprint,
		Status: r.op.Status, Answer: r.op.Answer, Remaining: time.Until(r.op.Deadline),
	})
	if err != nil {
		lost.Exposed = errs.As(err).RunState == errs.MayHaveRun
		s.config.Log.Infof("claim: owner %s of %s cannot be reached: %v", owner.ID, ObjectKey(r.partition), err)
		r.replies <- path{true, lost}
		return
	}
	defer stream.Close()
	for range ownerReplies {
		m, err := stream.Recv(ctx)
		reply, ok := m.(*wire.ClaimReply)
		if err != nil || !ok || reply.Token != r.op.Token || reply.KeyHash != r.op.KeyHash {
			r.replies <- path{true, lost}
			return
		}
		result := Result{Verdict: reply.Verdict, Status: reply.Status, Answer: reply.Answer, Exposed: reply.MayBeStored}
		r.replies <- path{true, result}
		if reply.Verdict.Final() {
			return
		}
	}
	r.replies <- path{true, lost}
}

// Handle serves a ClaimRequest of a peer. It implements wire.Handler. This VM
// need not be the owner: the conditional update alone makes the claim valid.
func (s *Service) Handle(ctx context.Context, from model.VMID, first wire.Message, in <-chan wire.Message, reply func(wire.Message) error) {
	request, ok := first.(*wire.ClaimRequest)
	if !ok || len(request.KeyHash) != hashBytes || request.Token == "" ||
		request.Partition < 0 || request.Partition >= maxPartitions {
		s.config.Log.Warnf("claim: malformed request from %s", from)
		return
	}
	op := Op{
		Step: request.Step, KeyHash: request.KeyHash, Token: request.Token, Fingerprint: request.Fingerprint,
		Status: request.Status, Answer: request.Answer, Deadline: time.Now().Add(min(request.Remaining, maxRemaining)),
	}
	results := make(chan Result, maxReplies)
	results <- Result{Verdict: wire.ClaimAccepted}
	c := s.committer(request.Partition)
	id := c.submit(op, func(r Result) { results <- r })
	for {
		select {
		case r := <-results:
			m := &wire.ClaimReply{
				KeyHash: op.KeyHash, Token: op.Token, Verdict: r.Verdict, Status: r.Status, Answer: r.Answer, MayBeStored: r.Exposed,
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

// owner returns the claim owner of a partition, unless it is this VM.
func (s *Service) owner(partition int) (model.VM, bool) {
	view := s.config.View.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ranked != view {
		s.ranked = view
		clear(s.owners)
	}
	vm, ok := s.owners[partition]
	if !ok {
		vm = s.rankOwner(view, ObjectKey(partition))
		s.owners[partition] = vm
	}
	return vm, vm.ID != s.config.Self.ID && vm.ID != ""
}

func (s *Service) rankOwner(view *model.View, key string) model.VM {
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
