package cli

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/nutmeghitch/nutmeghitch/pkg/config"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

func (a *app) domainCommand() *cli.Command {
	domains := func(o *model.Overrides) *[]model.DomainID { return &o.DomainsOut }
	known := func(d *model.Document) []model.DomainID {
		return append(slices.Sorted(maps.Keys(d.Domains)), d.Overrides.DomainsOut...)
	}
	return &cli.Command{
		Name:  "domain",
		Usage: "take failure domains out of service and bring them back",
		Commands: []*cli.Command{
			override(a, "out", "NAME", "take a failure domain out of service", "failure domain", "out of service", "nutmeghitch domain out nbo-b", domains, known, true),
			override(a, "in", "NAME", "bring a failure domain back into service", "failure domain", "in service", "nutmeghitch domain in nbo-b", domains, known, false),
		},
	}
}

func (a *app) upstreamCommand() *cli.Command {
	drained := func(o *model.Overrides) *[]model.ReplicaID { return &o.Drained }
	known := func(d *model.Document) []model.ReplicaID {
		return append(slices.Sorted(maps.Keys(replicas(d))), d.Overrides.Drained...)
	}
	return &cli.Command{
		Name:  "upstream",
		Usage: "drain upstreams and restore them",
		Commands: []*cli.Command{
			override(a, "drain", "NAME", "send no new work to an upstream", "upstream", "drained", "nutmeghitch upstream drain rostering-g01-r2", drained, known, true),
			override(a, "restore", "NAME", "send work to a drained upstream again", "upstream", "restored", "nutmeghitch upstream restore rostering-g01-r2", drained, known, false),
		},
	}
}

// override returns a command that adds a name to a list of the overrides, or
// removes it.
func override[T ~string](a *app, name, argument, usage, noun, state, example string,
	list func(*model.Overrides) *[]T, known func(*model.Document) []T, add bool) *cli.Command {
	return &cli.Command{
		Name:        name,
		Usage:       usage,
		ArgsUsage:   argument,
		Description: "Repeating the command changes nothing.\nExample:\n  " + example + " --platform http://127.0.0.1:7000",
		Flags:       []cli.Flag{platformFlag(), a.jsonFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			args, err := arguments(c, argument)
			if err != nil {
				return err
			}
			s, err := a.store(c)
			if err != nil {
				return err
			}
			id := T(args[0])
			ctx, cancel := context.WithTimeout(ctx, platformTimeout)
			defer cancel()
			d, before, err := config.Fetch(ctx, s)
			if err != nil {
				return err
			}
			if names := known(d); !slices.Contains(names, id) {
				return errs.Refuse(errs.InvalidRequest, "unknown %s %q%s", noun, id, didYouMean(args[0], toStrings(names)))
			}
			version, err := config.EditOverrides(ctx, s, func(o *model.Overrides) error {
				edit(list(o), id, add)
				return nil
			})
			if err != nil {
				return err
			}
			out := published{Version: version, Changed: version != before.Version}
			a.result(out, "%s %s is %s in configuration %d", noun, id, state, version)
			return nil
		},
	}
}

func edit[T comparable](list *[]T, id T, add bool) {
	present := slices.Contains(*list, id)
	switch {
	case add && !present:
		*list = append(*list, id)
	case !add && present:
		*list = slices.DeleteFunc(*list, func(o T) bool { return o == id })
	}
}

func toStrings[T ~string](ids []T) []string {
	var all []string
	for _, id := range ids {
		all = append(all, fmt.Sprint(id))
	}
	return all
}
