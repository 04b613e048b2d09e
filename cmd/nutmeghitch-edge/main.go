// Command nutmeghitch-edge runs one VM of the query tier on the users'
// platform.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/nutmeghitch/nutmeghitch/pkg/command"
	"github.com/nutmeghitch/nutmeghitch/pkg/edge"
	"github.com/nutmeghitch/nutmeghitch/pkg/logging"
	"github.com/nutmeghitch/nutmeghitch/pkg/metrics"
	"github.com/nutmeghitch/nutmeghitch/platform"
)

const (
	// flushTimeout bounds the time to write the last log lines.
	flushTimeout = 200 * time.Millisecond
	// settingsInterval is how often the settings file is read for changes that
	// come without a signal.
	settingsInterval = time.Second
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	cmd := &cli.Command{
		Name:        "nutmeghitch-edge",
		Usage:       "run one VM of the query tier on the users' platform",
		UsageText:   "nutmeghitch-edge [--settings FILE] [--check]\n\nExample: nutmeghitch-edge --settings local.yaml --check",
		Description: "The settings file is the platform's. SIGTERM starts a planned stop, SIGHUP reads the settings again.\nExit codes: 0 done, 1 failed, 2 wrong usage or settings.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`; without it the platform's environment names one"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
	}
	return command.Run(cmd, args, stdout, stderr, func(ctx context.Context, c *cli.Command) int {
		return serve(ctx, c.String("settings"), c.Bool("check"), stdout, stderr)
	})
}

// serve runs the VM until a signal asks it to stop.
func serve(ctx context.Context, file string, checkOnly bool, stdout, stderr io.Writer) int {
	// A SIGHUP during the start must not end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	settings, path, err := load(file)
	if err != nil {
		fmt.Fprintf(stderr, "nutmeghitch-edge: %v\n", err)
		return command.Usage
	}
	if checkOnly {
		fmt.Fprintf(stderr, "nutmeghitch-edge: settings of VM %s are correct\n", settings.VM)
		return command.Done
	}
	log, async := logging.New(stdout, logrus.InfoLevel, logging.DefaultCapacityLines)
	m := metrics.New(map[string]string{"vm": settings.VM}, func(err error) { log.WithField("error", err).Warn("metric refused") })
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	err = edge.Run(ctx, edge.Config{
		Settings: settings, SettingsUpdates: watchSettings(ctx, path, hangups, log), Store: platform.NewClient(settings.StoreAddr),
		Headers: platform.Headers, ReadyPath: platform.ReadyPath, Log: log, Metrics: m,
	})
	if err != nil {
		log.WithField("error", err).Error("ended")
	}
	flush, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	_ = async.Close(flush) // lines that cannot be written have nowhere to go
	if err != nil {
		return command.Failed
	}
	return command.Done
}

func load(file string) (edge.Settings, string, error) {
	if file == "" {
		var err error
		if file, err = platform.SettingsPath(); err != nil {
			return edge.Settings{}, "", err
		}
	}
	settings, err := platform.LoadSettings(file)
	return settings, file, err
}

// watchSettings passes on changed settings until ctx ends. A value from now makes
// it look at once. Settings with faults change nothing.
func watchSettings(ctx context.Context, path string, now <-chan os.Signal, log logrus.FieldLogger) <-chan edge.Settings {
	changes := make(chan edge.Settings)
	go platform.WatchSettings(path, settingsInterval, now, ctx.Done(), func(s edge.Settings, err error) {
		if err != nil {
			log.WithFields(logrus.Fields{"path": path, "error": err}).Warn("settings not taken")
			return
		}
		select {
		case changes <- s:
		case <-ctx.Done():
		}
	})
	return changes
}
