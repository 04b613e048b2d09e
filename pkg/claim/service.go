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

// Defaults of Config and of the configuration document.
const (
	DefaultPartitions = 64
	DefaultRetention  = 24 * time.Hour
	// DefaultWritesPerSecond is the share of the platform's several hundred
	// writes a second that claims of the whole tier may take.
	DefaultWritesPerSecond = 300
	// writeBurst is the number of updates of one partition that are not
	// paced.
	writeBurst = 16
	// Linger is how long an outcome or a release that could not be stored is
	// tried again in the background.
	Linger = time.Minute
	// storeTimeout bounds one platform call. A Put that takes longer is
	// treated as one whose reply was lost.
	storeTimeout = 2 * time.Second
	// maxReplyMargin is how long before the request's deadline a Machine
	// gives up, so that its verdict is known when the request is answered.
	maxReplyMargin = 10 * time.Millisecond
)

// Request asks for the right to run a request that may not be repeated.
type Request struct {
	Service     model.ServiceID
	Key         string
	Fingerprint uint64
	Deadline    time.Time
}

// Grant is the right to run once. It must be used before the request's
// deadline, and ends with Record, or with Release if the request provably did
// not reach an upstream.
type Grant struct {
	Partition int
	KeyHash   string
	Token     string
}

// Prior is the recorded outcome of an earlier request with the same key.
type Prior struct {
	Done   bool
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
	// WritesPerSecond bounds the updates of the whole tier; 0 takes
	// DefaultWritesPerSecond.
	WritesPerSecond float64
	// Observe is told the verdict of each claim of this VM's requests:
	// VerdictGranted, VerdictRepeated or the code of the refusal. It must not
	// block; nil ignores verdicts.
	Observe func(verdict string)
}

// Verdicts of claims that were not refused.
const (
	VerdictGranted  = "granted"
	VerdictRepeated = "repeated"
)

// Service takes claims for the requests of one VM and applies claims of other
// VMs for the partitions it is asked for. It is safe for concurrent use.
type Service struct {
	config  Config
	base    context.Context
	stop    context.CancelFunc
	running tasks
	// reading is held by the request that reads the layout.
	reading chan struct{}

	mu         sync.Mutex
	partitions int
	committers map[int]*committer
	ranked     *model.View
	owners     map[int]model.VM
}

// New returns a Service. Close ends its background work.
func New(c Config) *Service {
	if c.WritesPerSecond == 0 {
		c.WritesPerSecond = DefaultWritesPerSecond
	}
	base, stop := context.WithCancel(context.Background())
	return &Service{config: c, base: base, stop: stop, reading: make(chan struct{}, 1), committers: map[int]*committer{}, owners: map[int]model.VM{}}
}

// Claim takes the claim on a key. A Grant is durable before Claim returns.
// A key with a recorded outcome gives Prior. A key that another request holds
// is waited for until the deadline. Every error is an *errs.Refusal; unless it
// is OutcomeUnknown, this request has not run and will not.
func (s *Service) Claim(ctx context.Context, r Request) (Grant, *Prior, error) {
	grant, prior, err := s.take(ctx, r)
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

func (s *Service) take(ctx context.Context, r Request) (Grant, *Prior, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	partitions, err := s.layout(ctx)
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
	attempt := s.run(ctx, partition, op)
	if attempt.NeedsRelease() {
		s.releaseLater(partition, op)
	}
	return conclude(attempt.Result(), Grant{Partition: partition, KeyHash: hash, Token: op.Token})
}

func replyMargin(remaining time.Duration) time.Duration {
	return max(0, min(remaining/10, maxReplyMargin))
}

func conclude(r Result, g Grant) (Grant, *Prior, error) {
	switch r.Verdict {
	case wire.ClaimGranted:
		return g, nil, nil
	case wire.ClaimDone:
		return Grant{}, &Prior{Done: true, Answer: r.Answer, Status: r.Status}, nil
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

func unavailable(format string, args ...any) *errs.Refusal {
	return errs.Refuse(errs.ClaimUnavailable, format, args...).WithRetryAfter(time.Second)
}

// Record stores the outcome of a run. An answer above MaxAnswer gives TooLarge
// and is not stored; a repeat of the key then gets OutcomeUnknown. After any
// other error the outcome is tried again in the background for Linger, and
// the caller must be told OutcomeUnknown.
func (s *Service) Record(ctx context.Context, g Grant, status int, answer []byte) error {
	if len(answer) > MaxAnswer {
		return errs.Ambiguous(errs.TooLarge, "the answer has %d bytes, recorded are up to %d", len(answer), MaxAnswer)
	}
	op := Op{
		Step: wire.ClaimRecord, KeyHash: g.KeyHash, Token: g.Token, Status: status, Answer: answer,
		Deadline: time.Now().Add(Linger),
	}
	attempt := s.run(ctx, g.Partition, op)
	if v := attempt.Result().Verdict; v != wire.ClaimRecorded {
		return errs.Ambiguous(errs.OutcomeUnknown, "the outcome could not be recorded: %s", v)
	}
	return nil
}

// Release gives back a grant whose request provably reached no upstream. When
// it returns an error, it is tried again in the background for Linger; until
// then a repeat of the key waits.
func (s *Service) Release(ctx context.Context, g Grant) error {
	op := Op{Step: wire.ClaimRelease, KeyHash: g.KeyHash, Token: g.Token, Deadline: time.Now().Add(Linger)}
	attempt := s.run(ctx, g.Partition, op)
	if v := attempt.Result().Verdict; v != wire.ClaimReleased {
		return errs.Refuse(errs.ClaimUnavailable, "the claim could not be released: %s", v)
	}
	return nil
}

// releaseLater releases a token that may be stored but is never used.
func (s *Service) releaseLater(partition int, take Op) {
	op := Op{Step: wire.ClaimRelease, KeyHash: take.KeyHash, Token: take.Token, Deadline: time.Now().Add(Linger)}
	s.running.start(func() { s.run(s.base, partition, op) })
}

// Flush returns when every outcome and release is stored or given up, or with
// the context's error.
func (s *Service) Flush(ctx context.Context) error {
	select {
	case <-s.running.idle():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close ends all work. Outcomes that are not stored yet are lost; call Flush
// first.
func (s *Service) Close() {
	s.stop()
	<-s.running.idle()
}

func (s *Service) retention() time.Duration {
	doc := s.config.View.Current().Config
	if doc == nil || doc.Tier.ClaimRetentionMS <= 0 {
		return DefaultRetention
	}
	return time.Duration(doc.Tier.ClaimRetentionMS) * time.Millisecond
}
