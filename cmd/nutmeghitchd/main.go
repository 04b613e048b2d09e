// Command nutmeghitchd runs one VM of the query tier.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/nutmeghitch/nutmeghitch/pkg/command"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/node"
	"github.com/nutmeghitch/nutmeghitch/pkg/settings"
)

// flushTimeout limits how long the exit waits for queued log lines to be written.
const flushTimeout = 2 * time.Second

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, stdout, stderr io.Writer) int {
	cmd := &cli.Command{
		Name:        "nutmeghitchd",
		Usage:       "run one VM of the query tier",
		UsageText:   "nutmeghitchd --settings FILE [--check]\n\nExample: nutmeghitchd --settings /etc/nutmeghitch/vm.jsonc",
		Description: "SIGTERM and SIGINT start a planned stop, which waits for requests in flight.\nExit codes: 0 done, 1 failed, 2 wrong usage or settings.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of this VM, JSON with comments", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
	}
	return command.Run(cmd, args, stdout, stderr, func(ctx context.Context, c *cli.Command) int {
		return serve(ctx, c.String("settings"), c.Bool("check"), stderr)
	})
}

// serve runs the VM until a signal asks it to stop.
func serve(ctx context.Context, file string, checkOnly bool, stderr io.Writer) int {
	s, err := settings.LoadFile(file)
	if err != nil {
		fmt.Fprintf(stderr, "nutmeghitchd: %v\n", err)
		return command.ExitUsage
	}
	if checkOnly {
		fmt.Fprintf(stderr, "nutmeghitchd: settings of VM %s are correct\n", s.VM)
		return command.ExitDone
	}
	n, resources, err := node.Open(s, stderr)
	if err != nil {
		fmt.Fprintf(stderr, "nutmeghitchd: %v\n", err)
		if errs.Is(err, errs.AddressInUse) {
			// Not ExitUsage: the settings are valid and work once the address is free.
			return command.ExitFailed
		}
		return command.ExitUsage
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	err = n.Run(ctx)
	_ = resources.Metrics.Close()
	flushCtx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	_ = resources.LogWriter.Close(flushCtx)
	if err != nil {
		fmt.Fprintf(stderr, "nutmeghitchd: %v\n", err)
		return command.ExitFailed
	}
	return command.ExitDone
}
