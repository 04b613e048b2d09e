package claim

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/platform"
	"github.com/nutmeghitch/nutmeghitch/pkg/wire"
)

// Defaults of Config and of the configuration document, and timeouts of a Service.
const (
	DefaultPartitions = 64
	DefaultRetention  = 24 * time.Hour
	// DefaultWritesPerSecond is the part of the platform's several hundred writes
	// a second that all claims of the tier together may use.
	DefaultWritesPerSecond = 300
	// burstWrites is the number of updates of one partition that can be made
	// before the rate limit applies.
	burstWrites = 16
	// BackgroundRetryTime is how long storing an outcome or a release is retried
	// in the background.
	BackgroundRetryTime = time.Minute
	// storeTimeout bounds one platform call. A Put that takes longer is handled as
	// if its reply was lost.
	storeTimeout = 2 * time.Second
	// maxReplyMargin is the longest time before the request's deadline at which an
	// Updater gives up, so that its verdict is known when the request is answered.
	maxReplyMargin = 10 * time.Millisecond
)

// Request describes a non-idempotent request for which a claim is taken.
type Request struct {
	Service     model.ServiceID
	Key         string
	Fingerprint uint64
	Deadline    time.Time
}

// Grant is the right to run the request once. The run must start before the
// request's deadline. Call Record afterwards, or Release if the request provably
// did not reach an upstream.
type Grant struct {
	Partition int
	KeyHash   string
	Token     string
}

// Prior is the recorded outcome of an earlier request with the same key.
type Prior struct {
	Answer []byte
	Status int
}

// Config configures a Service.
type Config struct {
	Self      model.VM
	View      model.ViewSource
	Transport wire.Transport
	Store     platform.Store
	Log       logrus.FieldLogger
	// Rank orders VMs for a key, highest first; see placement.Rank.
	Rank func(key string, vms []model.VM) []model.VMID
	// WritesPerSecond bounds the updates of the whole tier; 0 means
	// DefaultWritesPerSecond.
	WritesPerSecond float64
	// Observe is called with the verdict on each claim of this VM's requests:
	// VerdictGranted, VerdictRepeated or the code of the refusal. It must not
	// block. It may be nil.
	Observe func(verdict string)
}

// Verdicts that Observe gets for claims that were not refused.
const (
	VerdictGranted  = "granted"
	VerdictRepeated = "repeated"
)

// Service takes claims for the requests of one VM, and stores claims that other
// VMs send to this VM as the partition's owner. It is safe for concurrent use.
type Service struct {
	config  Config
	baseCtx context.Context
	stop    context.CancelFunc
	// background counts the goroutines that may still store something.
	background tasks
	// layoutSemaphore is held by the request that reads the layout.
	layoutSemaphore chan struct{}

	mu sync.Mutex
	// partitions is the stored number of partitions, 0 until it was read.
	partitions int
	committers map[int]*committer
	// owners caches the claim owners of partitions in ownersView.
	ownersView *model.View
	owners     map[int]model.VM
}

// New returns a Service. Close ends its background work.
func New(c Config) *Service {
	if c.WritesPerSecond == 0 {
		c.WritesPerSecond = DefaultWritesPerSecond
	}
	base, stop := context.WithCancel(context.Background())
	return &Service{config: c, baseCtx: base, stop: stop, layoutSemaphore: make(chan struct{}, 1), committers: map[int]*committer{}, owners: map[int]model.VM{}}
}

// Claim takes the claim on a key. A Grant is stored durably before Claim returns.
// If the key has a recorded outcome, Claim returns it as Prior. If another request
// holds the key, Claim waits for its outcome until the deadline. Every error is an
// *errs.Refusal; unless its code is OutcomeUnknown, this request has not run and
// will not run.
func (s *Service) Claim(ctx context.Context, r Request) (Grant, *Prior, error) {
	grant, prior, err := s.takeClaim(ctx, r)
	if s.config.Observe != nil {
		verdict := VerdictGranted
		switch {
		case err != nil:
			verdict = string(errs.As(err).Code)
		case prior != nil:
			verdict = VerdictRepeated
		}
		s.config.Observe(verdict)
	}
	return grant, prior, err
}

func (s *Service) takeClaim(ctx context.Context, r Request) (Grant, *Prior, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	partitions, err := s.partitionCount(ctx)
	if err != nil {
		return Grant{}, nil, unavailable("the claim layout cannot be read: %v", err)
	}
	hash := HashKey(r.Service, r.Key)
	partition := PartitionOf(hash, partitions)
	token := uuid.New()
	op := Op{
		Step: wire.ClaimTake, KeyHash: hash, Token: string(token[:]), Fingerprint: r.Fingerprint,
		Deadline: r.Deadline.Add(-replyMargin(time.Until(r.Deadline))),
	}
	attempt := s.runOp(ctx, partition, op)
	if attempt.NeedsRelease() {
		s.releaseInBackground(partition, op)
	}
	return claimOutcome(attempt.Result(), Grant{Partition: partition, KeyHash: hash, Token: op.Token})
}

// replyMargin returns how long before its deadline a request with the given
// remaining time gives up its claim.
func replyMargin(remaining time.Duration) time.Duration {
	return max(0, min(remaining/10, maxReplyMargin))
}

// claimOutcome converts the result of a ClaimTake to the return values of Claim.
func claimOutcome(r Result, g Grant) (Grant, *Prior, error) {
	switch r.Verdict {
	case wire.ClaimGranted:
		return g, nil, nil
	case wire.ClaimDone:
		return Grant{}, &Prior{Answer: r.Answer, Status: r.Status}, nil
	case wire.ClaimUnknown:
		return Grant{}, nil, errs.Ambiguous(errs.OutcomeUnknown, "another request holds the key and its outcome did not come in time")
	case wire.ClaimReused:
		return Grant{}, nil, errs.Refuse(errs.KeyReused, "the key was used with another body")
	case wire.ClaimFull:
		return Grant{}, nil, errs.Refuse(errs.ClaimStoreFull, "the partition of the key has no room for a claim")
	default:
		return Grant{}, nil, unavailable("the claim could not be stored in time")
	}
}

// unavailable returns a refusal with code ClaimUnavailable.
func unavailable(format string, args ...any) *errs.Refusal {
	return errs.Refuse(errs.ClaimUnavailable, format, args...).WithRetryAfter(time.Second)
}

// Record stores the outcome of a run. It refuses an answer longer than
// MaxAnswerBytes with TooLarge; a repeat with the same key then gets
// OutcomeUnknown. After any other error, storing the outcome is retried in the
// background for BackgroundRetryTime, and the caller must get OutcomeUnknown.
func (s *Service) Record(ctx context.Context, g Grant, status int, answer []byte) error {
	if len(answer) > MaxAnswerBytes {
		return errs.Ambiguous(errs.TooLarge, "the answer has %d bytes, recorded are up to %d", len(answer), MaxAnswerBytes)
	}
	op := Op{
		Step: wire.ClaimRecord, KeyHash: g.KeyHash, Token: g.Token, Status: status, Answer: answer,
		Deadline: time.Now().Add(BackgroundRetryTime),
	}
	attempt := s.runOp(ctx, g.Partition, op)
	if v := attempt.Result().Verdict; v != wire.ClaimRecorded {
		return errs.Ambiguous(errs.OutcomeUnknown, "the outcome could not be recorded: %s", v)
	}
	return nil
}

// Release gives back a grant whose request provably reached no upstream. After
// an error the release is retried in the background for BackgroundRetryTime;
// until it is stored, a repeat with the same key waits.
func (s *Service) Release(ctx context.Context, g Grant) error {
	op := Op{Step: wire.ClaimRelease, KeyHash: g.KeyHash, Token: g.Token, Deadline: time.Now().Add(BackgroundRetryTime)}
	attempt := s.runOp(ctx, g.Partition, op)
	if v := attempt.Result().Verdict; v != wire.ClaimReleased {
		return errs.Refuse(errs.ClaimUnavailable, "the claim could not be released: %s", v)
	}
	return nil
}

// releaseInBackground releases a token that may be stored but will not be used.
func (s *Service) releaseInBackground(partition int, take Op) {
	op := Op{Step: wire.ClaimRelease, KeyHash: take.KeyHash, Token: take.Token, Deadline: time.Now().Add(BackgroundRetryTime)}
	s.background.start(func() { s.runOp(s.baseCtx, partition, op) })
}

// Flush waits until every outcome and release is stored or given up. It returns
// the context's error if that is not the case when the context ends.
func (s *Service) Flush(ctx context.Context) error {
	select {
	case <-s.background.idle():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close ends all background work. Outcomes that are not stored yet are lost, so
// call Flush first.
func (s *Service) Close() {
	s.stop()
	<-s.background.idle()
}

// retention returns how long claims are kept, from the configuration or its
// default.
func (s *Service) retention() time.Duration {
	doc := s.config.View.Current().Config
	if doc == nil || doc.Tier.ClaimRetentionMS <= 0 {
		return DefaultRetention
	}
	return time.Duration(doc.Tier.ClaimRetentionMS) * time.Millisecond
}
