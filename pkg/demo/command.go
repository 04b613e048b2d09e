package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	ucli "github.com/urfave/cli/v3"

	"github.com/nutmeghitch/nutmeghitch/examples"
	"github.com/nutmeghitch/nutmeghitch/pkg/cli"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/logging"
)

// Command returns the command "demo".
func Command(stdout, stderr io.Writer) *ucli.Command {
	return &ucli.Command{
		Name:  "demo",
		Usage: "run a whole site in one process, take a failure domain out and back, and report",
		UsageText: "nutmeghitch demo [--site msaada|podstavek] [--seed N] [--json] [--serve] [--log FILE]\n\n" +
			"Example: nutmeghitch demo --site podstavek --seed 7",
		Flags: []ucli.Flag{
			&ucli.StringFlag{Name: "site", Value: "msaada", Usage: "example site `NAME`", Validator: validSite},
			&ucli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of data, service times and load"},
			&ucli.BoolFlag{Name: "json", Usage: "print the report, or with --serve the addresses, as one JSON object"},
			&ucli.BoolFlag{Name: "serve", Usage: "start the site and keep it up until interrupted"},
			&ucli.StringFlag{Name: "log", Usage: "write the log lines of all VMs to `FILE`"},
		},
		Action: func(ctx context.Context, c *ucli.Command) error {
			cfg := Config{Site: c.String("site"), Seed: c.Uint64("seed"), Progress: stderr}
			if name := c.String("log"); name != "" {
				f, err := os.Create(name)
				if err != nil {
					return &cli.UsageError{Problem: fmt.Sprintf("log file: %v", err)}
				}
				defer f.Close()
				log := logging.NewAsyncWriter(f, logging.DefaultCapacityLines)
				defer flush(log)
				cfg.Log = log
			}
			if c.Bool("serve") {
				return serve(ctx, cfg, c.Bool("json"), stdout)
			}
			return report(ctx, cfg, c.Bool("json"), stdout)
		},
	}
}

// flushTimeout bounds the time to write the last log lines.
const flushTimeout = 2 * time.Second

func flush(log *logging.AsyncWriter) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	_ = log.Close(ctx)
}

func validSite(name string) error {
	for _, s := range examples.Sites() {
		if s == name {
			return nil
		}
	}
	return &cli.UsageError{Problem: fmt.Sprintf("must be one of %v", examples.Sites())}
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
