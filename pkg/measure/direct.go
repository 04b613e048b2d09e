package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/fake"
	"github.com/nutmeghitch/nutmeghitch/pkg/loadgen"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
	"github.com/nutmeghitch/nutmeghitch/pkg/testcluster"
)

// direct sends each search to one replica of each group itself and waits for
// all of them. It is what the overhead of the tier is compared with.
type direct struct {
	cluster *testcluster.Cluster
	client  *http.Client
	sent    atomic.Uint64
}

func newDirect(c *testcluster.Cluster) *direct {
	return &direct{cluster: c, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

// Search implements loadgen.Target.
func (d *direct) Search(ctx context.Context, s loadgen.Sent) loadgen.Result {
	svc := d.cluster.Document.Services[s.Request.Service]
	m := &svc.ShardMaps[0]
	n := d.sent.Add(1)
	answer := &loadgen.SearchAnswer{Snapshot: model.Snapshot{Version: firstVersion, Epoch: m.Epoch}}
	var groups errgroup.Group
	for gi := range m.Groups {
		g := &m.Groups[gi]
		answer.Total += len(g.Shards)
		groups.Go(func() error { return d.ask(ctx, svc, m, g, s, n) })
	}
	if err := groups.Wait(); err != nil {
		return loadgen.Result{Code: string(errs.As(err).Code), Ran: errs.MayHaveRun.String()}
	}
	answer.Covered = answer.Total
	return loadgen.Result{Search: answer}
}

func (d *direct) ask(ctx context.Context, svc *model.Service, m *model.ShardMap, g *model.Group, s loadgen.Sent, n uint64) error {
	replica := g.Replicas[n%uint64(len(g.Replicas))]
	body, err := json.Marshal(fake.UpstreamRequest{
		RequestID: "direct", Service: s.Request.Service, Operation: s.Request.Operation,
		Version: firstVersion, Epoch: m.Epoch, Shards: g.Shards, Payload: s.Body, Limit: svc.Limit,
		DeadlineMS: s.Request.Deadline.Milliseconds(),
	})
	if err != nil {
		return errs.Refuse(errs.InvalidRequest, "%v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, s.Request.Deadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+replica.Addr+"/run", bytes.NewReader(body))
	if err != nil {
		return errs.Refuse(errs.InvalidRequest, "%v", err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return errs.Ambiguous(errs.UpstreamLost, "%v", err)
	}
	defer resp.Body.Close()
	var reply struct {
		Rows []fake.Result `json:"rows"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil || resp.StatusCode != http.StatusOK {
		return errs.Ambiguous(errs.UpstreamFailed, "status %d: %v", resp.StatusCode, err)
	}
	return nil
}

// Call implements loadgen.Target. The scenario sends no calls.
func (d *direct) Call(context.Context, loadgen.Sent) loadgen.Result {
	return loadgen.Result{Code: string(errs.UnknownOperation), Ran: errs.DidNotRun.String()}
}
