package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/nutmeghitch/nutmeghitch/examples"
	operators "github.com/nutmeghitch/nutmeghitch/pkg/cli"
	"github.com/nutmeghitch/nutmeghitch/pkg/config"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// minDuration leaves room for the steps of every script.
const minDuration = 8 * time.Second

// Command returns the command "measure".
func Command(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "run faults against a whole site in one process and compare the figures with promises and targets",
		UsageText: "nutmeghitch measure [--list] [--scenario NAME]... [--site msaada|podstavek] [--seed N]\n" +
			"                    [--duration TIME] [--json] [--out DIR] [--log FILE]\n\n" +
			"Example: nutmeghitch measure --scenario domain-out --scenario poison --seed 7 --out plots",
		Description: "Exit code 1 when a promise was broken or a scenario could not run. A missed target is reported and leaves the exit code 0.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "list", Usage: "list the scenarios and end"},
			&cli.StringSliceFlag{Name: "scenario", Usage: "run the scenario `NAME`; may be repeated (default: all)", Validator: validScenarios},
			&cli.StringFlag{Name: "site", Value: "msaada", Usage: "example site `NAME`", Validator: validSite},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of data, service times and load"},
			&cli.DurationFlag{Name: "duration", Usage: "load `TIME` of each scenario after the warm-up (default: its own)", HideDefault: true, Validator: validDuration},
			&cli.BoolFlag{Name: "json", Usage: "print the results as JSON"},
			&cli.StringFlag{Name: "out", Value: "measure-out", Usage: "write one SVG plot per scenario to `DIR`; empty writes none"},
			&cli.StringFlag{Name: "log", Usage: "write the log lines of all VMs to `FILE`"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if first := c.Args().First(); first != "" {
				return &operators.UsageError{Problem: fmt.Sprintf("measure takes no argument %q; name a scenario with --scenario", first)}
			}
			if c.Bool("list") {
				return list(stdout, c.Bool("json"))
			}
			return measure(ctx, c, stdout, stderr)
		},
	}
}

func validSite(name string) error {
	if !slices.Contains(examples.Sites(), name) {
		return &operators.UsageError{Problem: fmt.Sprintf("site %q is none of %s", name, strings.Join(examples.Sites(), ", "))}
	}
	return nil
}

func validScenarios(names []string) error {
	for _, name := range names {
		if _, ok := Find(name); !ok {
			return &operators.UsageError{Problem: fmt.Sprintf("unknown scenario %q%s; see nutmeghitch measure --list", name, hint(name))}
		}
	}
	return nil
}

func hint(name string) string {
	var known []string
	for _, s := range Scenarios() {
		known = append(known, s.Name)
	}
	if s := config.Suggest(name, known); s != "" {
		return fmt.Sprintf(", did you mean %q?", s)
	}
	return ""
}

func validDuration(d time.Duration) error {
	if d != 0 && d < minDuration {
		return &operators.UsageError{Problem: fmt.Sprintf("%s is shorter than %s", d, minDuration)}
	}
	return nil
}

// listed is one line of the list.
type listed struct {
	Name      string   `json:"name"`
	Summary   string   `json:"summary"`
	Seconds   float64  `json:"seconds"`
	Baselines []string `json:"baselines,omitempty"`
}

func list(w io.Writer, asJSON bool) error {
	var out []listed
	for _, s := range Scenarios() {
		l := listed{Name: s.Name, Summary: s.Summary, Seconds: s.Duration.Seconds()}
		for _, b := range s.Baselines {
			l.Baselines = append(l.Baselines, b.Name)
		}
		out = append(out, l)
	}
	if asJSON {
		return encode(w, out)
	}
	for _, l := range out {
		fmt.Fprintf(w, "%-20s %3.0f s  %s\n", l.Name, l.Seconds, l.Summary)
		for _, b := range l.Baselines {
			fmt.Fprintf(w, "%-27s baseline: %s\n", "", b)
		}
	}
	return nil
}

func encode(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return errs.Refuse(errs.Internal, "report: %v", err)
	}
	return nil
}

func measure(ctx context.Context, c *cli.Command, stdout, stderr io.Writer) error {
	o := Options{Site: c.String("site"), Seed: c.Uint64("seed"), Duration: c.Duration("duration")}
	if name := c.String("log"); name != "" {
		f, err := os.Create(name)
		if err != nil {
			return errs.Refuse(errs.InvalidRequest, "log file: %v", err)
		}
		defer f.Close()
		o.Log = f
	}
	var results []*Result
	for _, s := range selected(c.StringSlice("scenario")) {
		r, err := Run(ctx, s, o, progressTo(stderr))
		if err != nil {
			return err
		}
		if dir := c.String("out"); dir != "" {
			if err := r.WritePlot(dir); err != nil {
				return err
			}
		}
		if !c.Bool("json") {
			r.WriteText(stdout)
		}
		results = append(results, r)
	}
	if c.Bool("json") {
		if err := encode(stdout, results); err != nil {
			return err
		}
	} else if len(results) > 1 {
		WriteSummary(stdout, results)
	}
	return verdictOf(results)
}

func selected(names []string) []Scenario {
	if len(names) == 0 {
		return Scenarios()
	}
	var out []Scenario
	for _, name := range names {
		if s, ok := Find(name); ok {
			out = append(out, s)
		}
	}
	return out
}

// verdictOf returns an error when a promise was broken or a step failed.
func verdictOf(results []*Result) error {
	var bad []string
	for _, r := range results {
		if !r.Held() {
			bad = append(bad, r.Scenario+" broke a promise")
		}
		if len(r.Variants[0].Figures.Failures) > 0 {
			bad = append(bad, r.Scenario+" could not carry out its script")
		}
	}
	if len(bad) > 0 {
		return errs.Refuse(errs.Internal, "%s", strings.Join(bad, ", "))
	}
	return nil
}

// progressTo prints steps when w is a terminal.
func progressTo(w io.Writer) func(string) {
	f, ok := w.(*os.File)
	if !ok {
		return func(string) {}
	}
	info, err := f.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return func(string) {}
	}
	began := time.Now()
	return func(line string) { fmt.Fprintf(w, "%6.1fs  %s\n", time.Since(began).Seconds(), line) }
}
