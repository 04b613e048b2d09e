package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/nutmeghitch/nutmeghitch/examples"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/testcluster"
)

// Command returns the command "demo".
func Command(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole site in one process, take a failure domain out and back, and report",
		UsageText: "nutmeghitch demo [--site msaada|podstavek] [--seed N] [--json] [--serve] [--log FILE]\n\n" +
			"Example: nutmeghitch demo --site podstavek --seed 7",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "site", Value: "msaada", Usage: "example site `NAME`", Validator: validSite},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of data, service times and load"},
			&cli.BoolFlag{Name: "json", Usage: "print the report as one JSON object"},
			&cli.BoolFlag{Name: "serve", Usage: "start the site and keep it up until interrupted"},
			&cli.StringFlag{Name: "log", Usage: "write the log lines of all VMs to `FILE`"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			cfg := Config{Site: c.String("site"), Seed: c.Uint64("seed"), Progress: stderr}
			if name := c.String("log"); name != "" {
				f, err := os.Create(name)
				if err != nil {
					return errs.Refuse(errs.InvalidRequest, "log file: %v", err)
				}
				defer f.Close()
				cfg.Log = f
			}
			if c.Bool("serve") {
				return serve(ctx, cfg, stdout)
			}
			return report(ctx, cfg, c.Bool("json"), stdout)
		},
	}
}

func validSite(name string) error {
	for _, s := range examples.Sites() {
		if s == name {
			return nil
		}
	}
	return errs.Refuse(errs.InvalidRequest, "site %q is none of %v", name, examples.Sites())
}

func report(ctx context.Context, cfg Config, asJSON bool, stdout io.Writer) error {
	r, err := Run(ctx, cfg)
	if err != nil {
		return err
	}
	if asJSON {
		enc := json.NewEncoder(stdout)
		enc.SetIndent("", "  ")
		if err := enc.Encode(r); err != nil {
			return errs.Refuse(errs.Internal, "report: %v", err)
		}
	} else {
		r.WriteText(stdout)
	}
	if !r.Held() {
		return errs.Refuse(errs.Internal, "a promise was broken: %d doubled, %d untrue, %d sends to a failure domain that was out",
			r.Doubled, len(r.Untrue), r.NewWorkAfterDomainOut)
	}
	return nil
}

// serve keeps a site up for the other commands, curl or a browser.
func serve(ctx context.Context, cfg Config, stdout io.Writer) error {
	cluster, err := Site(ctx, cfg)
	if err != nil {
		return err
	}
	defer cluster.Close()
	fmt.Fprintf(stdout, "platform   %s (token %s)\n", cluster.Platform.URL(), testcluster.PlatformToken)
	for _, vm := range cluster.Running() {
		fmt.Fprintf(stdout, "%s in %s   callers http://%s   operators http://%s (token %s)\n",
			vm.ID, vm.Domain, vm.Callers, vm.Operators, testcluster.OperatorToken)
	}
	fmt.Fprintln(stdout, "Serving until interrupted.")
	<-ctx.Done()
	return nil
}
