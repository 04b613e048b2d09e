// Command nutmeghitch is the tool for operators of the query tier.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/nutmeghitch/nutmeghitch/pkg/cli"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return cli.Run(ctx, os.Args, cli.Options{
		Stdin:     os.Stdin,
		Stdout:    os.Stdout,
		Stderr:    os.Stderr,
		OpenStore: cli.OpenPlatform,
		// Extra takes the commands demo and measure.
	})
}
