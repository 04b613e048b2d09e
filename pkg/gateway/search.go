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

// Search answers a search over all groups of a service from one snapshot.
func (g *Gateway) Search(ctx context.Context, r frontend.SearchRequest) (*frontend.SearchAnswer, error) {
	began := time.Now()
	v, svc, err := g.service(r.Service)
	if err != nil {
		return nil, err
	}
	if svc.Kind != model.Search {
		return nil, errs.Refuse(errs.UnknownService, "service %q is not a search service", r.Service)
	}
	fp := poison.Fingerprint(r.Service, r.Operation, r.Query)
	if _, err := g.checkPoison(fp); err != nil {
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
	answer, err := g.searchPinned(ctx, v, svc, r, fp)
	g.counters.latency.RecordDuration(time.Since(began))
	return answer, err
}

// searchPinned runs the search on one snapshot. When the snapshot disappears
// at an upstream, the whole search restarts once on another.
func (g *Gateway) searchPinned(ctx context.Context, v *model.View, svc *model.Service, r frontend.SearchRequest, fp uint64) (*frontend.SearchAnswer, error) {
	choice, ok := g.snapshots.Choose(r.Service, v)
	if !ok {
		return nil, errs.Refuse(errs.NoSnapshot, "no replica of service %q reports an index version", r.Service).WithRetryAfter(time.Second)
	}
	s := g.newSearch(ctx, svc, r, fp, choice)
	s.run()
	if !s.versionGone || ctx.Err() != nil {
		return s.answer()
	}
	next, ok := snapshot.ChooseExcept(svc, g.cfg.View.Current(), map[model.Snapshot]bool{choice.Snapshot: true})
	if !ok {
		return s.answer()
	}
	g.counters.restarts.Inc(1)
	again := g.newSearch(ctx, svc, r, fp, next)
	g.cfg.Log.WithFields(logrus.Fields{
		"query": again.id, "request": r.RequestID, "choice": next.Snapshot, "reason": "version_gone", "previous": choice.Snapshot,
	}).Info("Restarted search on another snapshot.")
	again.run()
	return better(s, again)
}

// better answers with the execution that covers more shards. Rows of the two
// never mix, because they come from different snapshots. When both fail, the
// refusal speaks for both.
func better(first, second *search) (*frontend.SearchAnswer, error) {
	a, errA := first.answer()
	b, errB := second.answer()
	switch {
	case errA != nil && errB != nil:
		return nil, ambiguousIf(first.mayHaveRun() || second.mayHaveRun(), errA)
	case errB != nil || (errA == nil && a.Coverage.Covered > b.Coverage.Covered):
		return a, nil
	default:
		return b, nil
	}
}

// ambiguousIf returns the refusal with run state MayHaveRun if an attempt that
// it does not speak of may have run.
func ambiguousIf(mayHaveRun bool, err error) error {
	r := errs.As(err)
	if !mayHaveRun || r.RunState == errs.MayHaveRun {
		return r
	}
	c := *r
	c.RunState = errs.MayHaveRun
	return &c
}
