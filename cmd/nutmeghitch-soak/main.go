// Command nutmeghitch-soak runs VMs of the tier as processes on the loopback
// interface, injects faults from outside the processes, and checks that the tier
// keeps its promises to callers.
package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/nutmeghitch/nutmeghitch/pkg/command"
	"github.com/nutmeghitch/nutmeghitch/pkg/soak"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	cmd := &cli.Command{
		Name:        "nutmeghitch-soak",
		Usage:       "run VMs of the tier under random faults and check its promises",
		UsageText:   "nutmeghitch-soak --edge PROGRAM [--seed N] [--seeds N] [--minutes N] [--keep DIR]\n\nExample: nutmeghitch-soak --edge out/nutmeghitch-edge --seeds 50",
		Description: "Prints the fault plan of each seed. Ends only processes that it started.\nExit codes: 0 done, 1 a promise was broken or a run failed, 2 wrong usage.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "edge", Usage: "path of the `PROGRAM` of a VM, nutmeghitch-edge", Required: true},
			&cli.Uint64Flag{Name: "seed", Usage: "first seed `N`; 0 chooses a random one"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds `N`"},
			&cli.IntFlag{Name: "minutes", Usage: "run further seeds until `N` minutes have passed"},
			&cli.IntFlag{Name: "vms", Value: 4, Usage: "number of VMs `N`"},
			&cli.IntFlag{Name: "faults", Value: 16, Usage: "number of faults `N` per seed"},
			&cli.StringFlag{Name: "keep", Usage: "keep settings and logs in `DIR`; by default they are deleted"},
		},
	}
	return command.Run(cmd, args, stdout, stderr, func(ctx context.Context, c *cli.Command) int {
		return runSeeds(ctx, c, stdout, stderr)
	})
}

// runSeeds runs consecutive seeds one after the other: at least the requested number,
// and further ones until the requested time has passed. It returns the exit code.
func runSeeds(ctx context.Context, c *cli.Command, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	seed := c.Uint64("seed")
	if seed == 0 {
		seed = uint64(rand.Uint32())
	}
	deadline := time.Now().Add(time.Duration(c.Int("minutes")) * time.Minute)
	code := command.ExitDone
	for i := 0; (i < c.Int("seeds") || time.Now().Before(deadline)) && ctx.Err() == nil; i++ {
		if !runSeed(ctx, c, seed+uint64(i), stdout, stderr) {
			code = command.ExitFailed
		}
	}
	return code
}

// runSeed runs one seed and reports whether every promise was kept.
func runSeed(ctx context.Context, c *cli.Command, seed uint64, stdout, stderr io.Writer) bool {
	dir, err := createRunDir(c.String("keep"), seed)
	if err != nil {
		fmt.Fprintf(stderr, "nutmeghitch-soak: %v\n", err)
		return false
	}
	if c.String("keep") == "" {
		defer os.RemoveAll(dir)
	}
	result, err := soak.Run(ctx, soak.Config{
		Binary: c.String("edge"), Dir: dir, Seed: seed, VMs: c.Int("vms"), Callers: 6,
		Faults: c.Int("faults"), Gap: 600 * time.Millisecond, Out: stdout,
	})
	if err != nil {
		fmt.Fprintf(stderr, "nutmeghitch-soak: seed %d: %v\n", seed, err)
		return false
	}
	for _, violation := range result.Broken {
		fmt.Fprintf(stdout, "seed %d BROKEN %s\n", seed, violation)
	}
	fmt.Fprintf(stdout, "seed %d: %d requests sent, %d served, %.2f of a cap used, %d promises broken\n", seed, result.Asked, result.Served, result.MostOfCap, len(result.Broken))
	return len(result.Broken) == 0
}

// createRunDir creates the directory for settings and logs of a seed: a temporary
// one if keep is empty, otherwise a subdirectory of keep.
func createRunDir(keep string, seed uint64) (string, error) {
	if keep == "" {
		return os.MkdirTemp("", "nutmeghitch-soak-")
	}
	dir := filepath.Join(keep, fmt.Sprint("seed-", seed))
	return dir, os.MkdirAll(dir, 0o700)
}
