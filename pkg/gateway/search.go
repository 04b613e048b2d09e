package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmeghitch/nutmeghitch/pkg/admission"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/frontend"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/poison"
	"github.com/nutmeghitch/nutmeghitch/pkg/snapshot"
)

// Search answers a search with the rows of all groups of a service, all from the
// same snapshot.
func (g *Gateway) Search(ctx context.Context, r frontend.SearchRequest) (*frontend.SearchAnswer, error) {
	began := time.Now()
	v, svc, err := g.service(r.Service)
	if err != nil {
		return nil, err
	}
	if svc.Kind != model.Search {
		return nil, errs.Refuse(errs.UnknownService, "service %q is not a search service", r.Service)
	}
	fingerprint := poison.Fingerprint(r.Service, r.Operation, r.Query)
	if _, err := g.checkPoison(fingerprint); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	release, err := g.admission.admit(ctx, admission.Request{
		Service:  r.Service,
		Class:    model.Search,
		Caller:   r.Caller,
		Deadline: r.Deadline,
	})
	if err != nil {
		return nil, err
	}
	defer release()
	answer, err := g.searchOneSnapshot(ctx, v, svc, r, fingerprint)
	g.counters.answerLatency.RecordDuration(time.Since(began))
	return answer, err
}

// searchOneSnapshot runs the search on one snapshot. If an upstream no longer
// holds the snapshot, the whole search runs once more on another one.
func (g *Gateway) searchOneSnapshot(ctx context.Context, v *model.View, svc *model.Service, r frontend.SearchRequest, fingerprint uint64) (*frontend.SearchAnswer, error) {
	choice, ok := g.snapshots.Choose(r.Service, v)
	if !ok {
		return nil, errs.Refuse(errs.NoSnapshot, "no replica of service %q reports an index version", r.Service).WithRetryAfter(time.Second)
	}
	s := g.newSearch(ctx, svc, r, fingerprint, choice)
	s.run()
	if !s.versionGone || ctx.Err() != nil {
		return s.answer()
	}
	next, ok := snapshot.ChooseExcept(svc, g.cfg.View.Current(), map[model.Snapshot]bool{choice.Snapshot: true})
	if !ok {
		return s.answer()
	}
	g.counters.searchRestarts.Inc(1)
	again := g.newSearch(ctx, svc, r, fingerprint, next)
	g.cfg.Log.WithFields(logrus.Fields{
		"query": again.id, "request": r.RequestID, "choice": next.Snapshot, "reason": "version_gone", "previous": choice.Snapshot,
	}).Info("search restarted on another snapshot")
	again.run()
	return betterAnswer(s, again)
}

// betterAnswer returns the answer of the execution that covers more shards. The
// rows of the two are never merged, because they come from different snapshots.
// If both fail, the run state of the refusal holds for both.
func betterAnswer(first, second *search) (*frontend.SearchAnswer, error) {
	a, errA := first.answer()
	b, errB := second.answer()
	switch {
	case errA != nil && errB != nil:
		return nil, mergeRunState(first.mayHaveRun() || second.mayHaveRun(), errA)
	case errB != nil || (errA == nil && a.Coverage.Covered > b.Coverage.Covered):
		return a, nil
	default:
		return b, nil
	}
}

// mergeRunState returns err as a refusal. Its run state is MayHaveRun if
// mayHaveRun is true, which means that another attempt of the request may have
// run.
func mergeRunState(mayHaveRun bool, err error) error {
	r := errs.As(err)
	if !mayHaveRun || r.RunState == errs.MayHaveRun {
		return r
	}
	c := *r
	c.RunState = errs.MayHaveRun
	return &c
}
