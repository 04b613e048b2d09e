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
	// flushTimeout limits how long the exit waits for queued log lines to be written.
	flushTimeout = 200 * time.Millisecond
	// settingsPollInterval is the interval at which the settings file is checked for
	// changes that are not announced by SIGHUP.
	settingsPollInterval = time.Second
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	cmd := &cli.Command{
		Name:        "nutmeghitch-edge",
		Usage:       "run one VM of the query tier on the users' platform",
		UsageText:   "nutmeghitch-edge [--settings FILE] [--check]\n\nExample: nutmeghitch-edge --settings local.yaml --check",
		Description: "The platform provides the settings file. SIGTERM starts a planned stop, SIGHUP reloads the settings.\nExit codes: 0 done, 1 failed, 2 wrong usage or settings.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`; by default the one that the platform's environment names"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
	}
	return command.Run(cmd, args, stdout, stderr, func(ctx context.Context, c *cli.Command) int {
		return serve(ctx, c.String("settings"), c.Bool("check"), stdout, stderr)
	})
}

// serve runs the VM until a signal asks it to stop.
func serve(ctx context.Context, file string, checkOnly bool, stdout, stderr io.Writer) int {
	// Registered before the settings are loaded, because a SIGHUP that is not handled
	// would end the process during its start.
	hangupSignals := make(chan os.Signal, 1)
	signal.Notify(hangupSignals, syscall.SIGHUP)
	settings, path, err := loadSettings(file)
	if err != nil {
		fmt.Fprintf(stderr, "nutmeghitch-edge: %v\n", err)
		return command.ExitUsage
	}
	if checkOnly {
		fmt.Fprintf(stderr, "nutmeghitch-edge: settings of VM %s are correct\n", settings.VM)
		return command.ExitDone
	}
	log, logWriter := logging.New(stdout, logrus.InfoLevel, logging.DefaultCapacityLines)
	registry := metrics.New(map[string]string{"vm": settings.VM}, func(err error) { log.WithField("error", err).Warn("metric is not exported: registration failed") })
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	err = edge.Run(ctx, edge.Config{
		Settings: settings, SettingsUpdates: watchSettings(ctx, path, hangupSignals, log), Store: platform.NewClient(settings.StoreAddr),
		Headers: platform.Headers, ReadyPath: platform.ReadyPath, Log: log, Metrics: registry,
	})
	if err != nil {
		log.WithField("error", err).Error("VM stopped with an error")
	}
	flushCtx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	_ = logWriter.Close(flushCtx) // a failure to write the log cannot be logged
	if err != nil {
		return command.ExitFailed
	}
	return command.ExitDone
}

// loadSettings reads the settings file, by default the one that the platform's
// environment names, and returns the settings and the path of the file.
func loadSettings(file string) (edge.Settings, string, error) {
	if file == "" {
		var err error
		if file, err = platform.SettingsPath(); err != nil {
			return edge.Settings{}, "", err
		}
	}
	settings, err := platform.LoadSettings(file)
	return settings, file, err
}

// watchSettings returns a channel that receives changed settings until ctx ends. It
// reads the file at an interval, and at once on a value from reloadSignals. Invalid
// settings are logged and ignored.
func watchSettings(ctx context.Context, path string, reloadSignals <-chan os.Signal, log logrus.FieldLogger) <-chan edge.Settings {
	changes := make(chan edge.Settings)
	go platform.WatchSettings(path, settingsPollInterval, reloadSignals, ctx.Done(), func(s edge.Settings, err error) {
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
