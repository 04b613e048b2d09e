package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/nutmeghitch/nutmeghitch/pkg/config"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

func fileFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "base", Usage: "base `FILE`"},
		&cli.StringSliceFlag{Name: "overlay", Usage: "overlay `FILE`, may be repeated"},
	}
}

func load(c *cli.Command) (*config.MergedDocument, error) {
	if _, err := arguments(c); err != nil {
		return nil, err
	}
	if c.String("base") == "" {
		return nil, &UsageError{Problem: "missing --base"}
	}
	return config.LoadFiles(c.String("base"), c.StringSlice("overlay")...)
}

// size counts the parts of a document.
type size struct {
	Site     string `json:"site"`
	Domains  int    `json:"domains"`
	Services int    `json:"services"`
	Replicas int    `json:"replicas"`
}

func sizeOf(d *model.Document) size {
	return size{Site: d.Site, Domains: len(d.Domains), Services: len(d.Services), Replicas: len(replicas(d))}
}

func replicas(d *model.Document) map[model.ReplicaID]bool {
	found := map[model.ReplicaID]bool{}
	for _, s := range d.Services {
		for _, m := range s.ShardMaps {
			for _, g := range m.Groups {
				for _, r := range g.Replicas {
					found[r.ID] = true
				}
			}
		}
	}
	return found
}

func (a *app) checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "check configuration files and report all faults",
		Description: "Example:\n  nutmeghitch check --base examples/base.jsonc --overlay examples/msaada.jsonc",
		Flags:       append(fileFlags(), a.jsonFlag()),
		Action: func(_ context.Context, c *cli.Command) error {
			m, err := load(c)
			if err != nil {
				return err
			}
			s := sizeOf(m.Document)
			a.result(s, "site %s is correct: %d failure domains, %d services, %d replicas", s.Site, s.Domains, s.Services, s.Replicas)
			return nil
		},
	}
}

// published is the outcome of a command that changes the configuration.
type published struct {
	Version uint64 `json:"version"`
	Changed bool   `json:"changed"`
	// Forgotten holds overrides that named something the files no longer have.
	Forgotten []string `json:"forgotten_overrides,omitempty"`
}

func (a *app) applyCommand() *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "check configuration files and publish them",
		Description: "Overrides in force stay, unless the files set overrides themselves. A change that another operator\n" +
			"published since the files were compared is reported as platform_conflict and nothing is written.\n" +
			"Example:\n  nutmeghitch apply --base examples/base.jsonc --overlay examples/msaada.jsonc --platform http://127.0.0.1:7000",
		Flags: append(fileFlags(), platformFlag(),
			&cli.Uint64Flag{Name: "read-version", Usage: "publish only as the successor of this `VERSION`"}, a.jsonFlag()),
		Action: a.apply,
	}
}

func (a *app) apply(ctx context.Context, c *cli.Command) error {
	m, err := load(c)
	if err != nil {
		return err
	}
	s, err := a.store(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	current, manifest, err := config.Fetch(ctx, s)
	if err != nil && !errs.Is(err, errs.PlatformNotFound) {
		return err
	}
	if c.IsSet("read-version") && c.Uint64("read-version") != manifest.Version {
		return errs.Refuse(errs.PlatformConflict, "configuration %d is in force, not %d", manifest.Version, c.Uint64("read-version"))
	}
	next := *m.Document
	var out published
	if current != nil && !m.SetsOverrides() {
		next.Overrides, out.Forgotten = keep(current.Overrides, &next)
	}
	split, _ := config.Split(&next)
	if current != nil && maps.Equal(split.Sections, manifest.Sections) {
		out.Version = manifest.Version
		a.result(out, "configuration %d is unchanged", out.Version)
		return nil
	}
	out.Changed = true
	if out.Version, err = config.Publish(ctx, s, &next, manifest.Version); err != nil {
		return err
	}
	a.result(out, "published configuration %d", out.Version)
	for _, name := range out.Forgotten {
		fmt.Fprintf(a.Stderr, "nutmeghitch: the override of %s is gone, because the files no longer have it\n", name)
	}
	return nil
}

// keep returns the overrides in force that still name something in d, and the
// names of the others.
func keep(o model.Overrides, d *model.Document) (model.Overrides, []string) {
	var kept model.Overrides
	var forgotten []string
	for _, id := range o.DomainsOut {
		if _, ok := d.Domains[id]; ok {
			kept.DomainsOut = append(kept.DomainsOut, id)
			continue
		}
		forgotten = append(forgotten, string(id))
	}
	known := replicas(d)
	for _, id := range o.Drained {
		if known[id] {
			kept.Drained = append(kept.Drained, id)
			continue
		}
		forgotten = append(forgotten, string(id))
	}
	return kept, forgotten
}

func (a *app) showCommand() *cli.Command {
	return &cli.Command{
		Name:        "show",
		Usage:       "show the published configuration",
		Description: "Example:\n  nutmeghitch show --platform http://127.0.0.1:7000 --base-file > base.jsonc",
		Flags: []cli.Flag{platformFlag(), a.jsonFlag(),
			&cli.BoolFlag{Name: "base-file", Usage: "print the configuration as a base file for check and apply"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			if _, err := arguments(c); err != nil {
				return err
			}
			s, err := a.store(c)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, platformTimeout)
			defer cancel()
			d, m, err := config.Fetch(ctx, s)
			if err != nil {
				return err
			}
			if c.Bool("base-file") {
				return a.printBase(d)
			}
			if a.json {
				a.print(map[string]any{"version": m.Version, "document": d})
				return nil
			}
			a.showText(d)
			return nil
		},
	}
}

// printBase prints a document with the keys that a base file may have: a
// lookup service has no keys of searches. Overrides are left out, because a
// file that sets them undoes later ones when it is applied.
func (a *app) printBase(d *model.Document) error {
	encoded, err := json.Marshal(d)
	if err != nil {
		return errs.Refuse(errs.Internal, "base file: %v", err)
	}
	var tree map[string]any
	if err := json.Unmarshal(encoded, &tree); err != nil {
		return errs.Refuse(errs.Internal, "base file: %v", err)
	}
	delete(tree, "overrides")
	services, _ := tree["services"].(map[string]any)
	for id, svc := range d.Services {
		keys, _ := services[string(id)].(map[string]any)
		if svc.Kind == model.Lookup {
			for _, key := range []string{"limit", "order", "canary_groups"} {
				delete(keys, key)
			}
		}
	}
	a.print(tree)
	return nil
}

func (a *app) showText(d *model.Document) {
	fmt.Fprintf(a.Stdout, "configuration %d of site %s\n", d.Version, d.Site)
	for _, id := range slices.Sorted(maps.Keys(d.Domains)) {
		state := "in service"
		if d.IsDomainOut(id) {
			state = "out of service"
		}
		fmt.Fprintf(a.Stdout, "failure domain %s in region %s: %s\n", id, d.Domains[id].Region, state)
	}
	for _, id := range slices.Sorted(maps.Keys(d.Services)) {
		svc := d.Services[id]
		for _, m := range svc.ShardMaps {
			n := 0
			for _, g := range m.Groups {
				n += len(g.Replicas)
			}
			fmt.Fprintf(a.Stdout, "%s service %s, epoch %d: %d group(s), %d replicas with %d slots\n", svc.Kind, id, m.Epoch, len(m.Groups), n, svc.Slots)
		}
	}
	for _, id := range d.Overrides.Drained {
		fmt.Fprintf(a.Stdout, "upstream %s is drained\n", id)
	}
}
