package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"

	"github.com/nutmeghitch/nutmeghitch/pkg/cli"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/loadgen"
	"github.com/nutmeghitch/nutmeghitch/pkg/testcluster"
	"github.com/nutmeghitch/nutmeghitch/pkg/workload"
)

// endpoints tell a script where a served site listens.
type endpoints struct {
	Site          string       `json:"site"`
	Platform      string       `json:"platform"`
	PlatformToken string       `json:"platform_token"`
	OperatorToken string       `json:"operator_token"`
	VMs           []vmEndpoint `json:"vms"`
}

type vmEndpoint struct {
	ID        string `json:"id"`
	Domain    string `json:"domain"`
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
}

// serve keeps a site up for the other commands, curl or a browser.
func serve(ctx context.Context, cfg Config, asJSON bool, stdout io.Writer) error {
	cluster, err := Site(ctx, cfg)
	if err != nil {
		return err
	}
	defer cluster.Close()
	e := endpointsOf(cfg.Site, cluster)
	if asJSON {
		enc := json.NewEncoder(stdout)
		enc.SetIndent("", "  ")
		if err := enc.Encode(e); err != nil {
			return errs.Refuse(errs.Internal, "endpoints: %v", err)
		}
	} else {
		e.writeText(stdout, mixOf(cluster), cfg.Seed)
	}
	fmt.Fprintln(cfg.Progress, "Serving until interrupted.")
	<-ctx.Done()
	return nil
}

func endpointsOf(site string, c *testcluster.Cluster) endpoints {
	e := endpoints{
		Site: site, Platform: c.Platform.URL(), PlatformToken: testcluster.PlatformToken, OperatorToken: testcluster.OperatorToken,
	}
	for _, vm := range c.Running() {
		e.VMs = append(e.VMs, vmEndpoint{
			ID: string(vm.ID), Domain: string(vm.Domain), Callers: "http://" + vm.Callers, Operators: "http://" + vm.Operators,
		})
	}
	return e
}

// writeText prints shell lines, so that the whole output can be pasted into
// another terminal: everything that is not a command is a comment.
func (e endpoints) writeText(w io.Writer, mix []loadgen.Request, seed uint64) {
	for _, vm := range e.VMs {
		fmt.Fprintf(w, "# %s in %s: callers %s, operators %s\n", vm.ID, vm.Domain, vm.Callers, vm.Operators)
	}
	fmt.Fprintf(w, "export NUTMEGHITCH_PLATFORM=%s %s=%s\n", e.Platform, cli.PlatformTokenEnv, e.PlatformToken)
	fmt.Fprintf(w, "export NUTMEGHITCH_OPERATORS=%s %s=%s\n", e.VMs[0].Operators, cli.OperatorTokenEnv, e.OperatorToken)
	fmt.Fprintf(w, "export NUTMEGHITCH_VM=%s\n", e.VMs[0].Callers)
	fmt.Fprintln(w, "go run ./cmd/nutmeghitch status")
	rng := rand.New(rand.NewPCG(seed, 0))
	var search, read, once bool
	for _, r := range mix {
		body := r.Body(rng, 0)
		switch {
		case r.Search && !search:
			search = true
			fmt.Fprintf(w, "go run ./cmd/nutmeghitch query %s '%s' --limit 3\n", r.Service, body)
			fmt.Fprintf(w, "curl -sS -X POST \"$NUTMEGHITCH_VM/v1/search/%s\" -d '{\"query\":%s,\"limit\":3}'\n", r.Service, body)
		case !r.Search && !r.Once && !read:
			read = true
			fmt.Fprintf(w, "go run ./cmd/nutmeghitch call %s %s '%s'\n", r.Service, r.Operation, body)
		case r.Once && !once:
			once = true
			fmt.Fprintf(w, "go run ./cmd/nutmeghitch call %s %s '%s' --key example-1\n", r.Service, r.Operation, body)
		}
	}
}

func mixOf(c *testcluster.Cluster) []loadgen.Request { return workload.Mix(c, rates) }
