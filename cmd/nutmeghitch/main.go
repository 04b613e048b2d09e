// Command nutmeghitch is the command line tool for operators of the query tier.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	ucli "github.com/urfave/cli/v3"

	"github.com/nutmeghitch/nutmeghitch/pkg/capacity"
	"github.com/nutmeghitch/nutmeghitch/pkg/cli"
	"github.com/nutmeghitch/nutmeghitch/pkg/demo"
	"github.com/nutmeghitch/nutmeghitch/pkg/measure"
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
		Extra: []*ucli.Command{
			demo.Command(os.Stdout, os.Stderr),
			measure.Command(os.Stdout, os.Stderr),
			capacity.Command(os.Stdout, os.Stderr),
		},
	})
}
