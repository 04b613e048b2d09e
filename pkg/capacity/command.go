package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// Command returns the command "capacity".
func Command(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure how the cost of each mechanism grows and extrapolate it to the target scale",
		UsageText: "nutmeghitch capacity [--item NAME]... [--quick] [--json] [--list]\n\n" +
			"Example: nutmeghitch capacity --item merge --item snapshot",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "item", Usage: "measure only the item `NAME`; may be repeated"},
			&cli.BoolFlag{Name: "quick", Usage: "small sizes and short measurements; checks that it works, the figures mean little"},
			&cli.BoolFlag{Name: "json", Usage: "print the results as one JSON array"},
			&cli.BoolFlag{Name: "list", Usage: "list the items and end"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Bool("list") {
				return list(stdout)
			}
			items, err := selectItems(c.StringSlice("item"))
			if err != nil {
				return err
			}
			return run(ctx, items, c.Bool("quick"), c.Bool("json"), stdout, stderr)
		},
	}
}

func list(stdout io.Writer) error {
	for _, it := range Items() {
		names := make([]string, len(it.Metrics))
		for i, m := range it.Metrics {
			names[i] = fmt.Sprintf("%s (%s)", m.Name, m.Unit)
		}
		fmt.Fprintf(stdout, "%-18s %s against %s\n", it.Name, strings.Join(names, ", "), it.Size)
	}
	return nil
}

// selectItems returns the named items, or all items without a name.
func selectItems(names []string) ([]Item, error) {
	all := Items()
	if len(names) == 0 {
		return all, nil
	}
	byName := map[string]Item{}
	for _, it := range all {
		byName[it.Name] = it
	}
	var out []Item
	for _, n := range names {
		it, ok := byName[n]
		if !ok {
			return nil, errs.Refuse(errs.InvalidRequest, "item %q is unknown, see --list", n)
		}
		out = append(out, it)
	}
	return out, nil
}

func run(ctx context.Context, items []Item, quick, asJSON bool, stdout, stderr io.Writer) error {
	rows := []Row{}
	for _, it := range items {
		fmt.Fprintf(stderr, "Measuring %s.\n", it.Name)
		got, err := Run(ctx, it, quick)
		if err != nil {
			return errs.Refuse(errs.Internal, "item %s: %v", it.Name, err)
		}
		rows = append(rows, got...)
		if !asJSON {
			for _, r := range got {
				r.writeText(stdout)
			}
		}
	}
	if !asJSON {
		return nil
	}
	enc := json.NewEncoder(stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(rows)
}

// writeText writes a row in the form of the tables in docs/CAPACITY.md.
func (r Row) writeText(w io.Writer) {
	fmt.Fprintf(w, "%s: %s (%s) against %s\n", r.Item, r.Metric, r.Unit, r.Size)
	for i := range r.Sizes {
		fmt.Fprintf(w, "  %8g  %s\n", r.Sizes[i], number(r.Values[i]))
	}
	fmt.Fprintf(w, "  %s (%s): %s + %s ± %s × f(n); at %g: %s ± %s", r.Fit.Model, r.Why,
		number(r.Fit.Intercept), number(r.Fit.Slope), number(r.Fit.SlopeError), r.Target, number(r.AtTarget), number(r.TargetError))
	if r.Budget > 0 {
		fmt.Fprintf(w, "; budget %s, margin %s", number(r.Budget), number(r.Margin))
	}
	fmt.Fprintln(w)
}

func number(v float64) string { return fmt.Sprintf("%.4g", v) }
