// Package cli implements the operators' commands of nutmeghitch.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/nutmeghitch/nutmeghitch/pkg/config"
	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/platform"
)

// Exit codes of the commands.
const (
	ExitDone   = 0
	ExitFailed = 1
	// ExitUsage is given for wrong usage and for wrong configuration files
	// or settings.
	ExitUsage = 2
)

// Environment variables with tokens. Tokens are not flags, because the
// arguments of a process are visible to other users of the machine.
const (
	PlatformTokenEnv = "NUTMEGHITCH_PLATFORM_TOKEN"
	OperatorTokenEnv = "NUTMEGHITCH_OPERATOR_TOKEN"
)

// platformTimeout bounds a command that talks to the platform. It exceeds the
// six seconds in which config.Publish resolves lost replies.
const platformTimeout = 30 * time.Second

// Options are the surroundings of the commands.
type Options struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	// OpenStore returns the client of the platform at a URL.
	OpenStore func(url, token string) platform.Store
	// HTTP reaches VMs; nil selects http.DefaultClient.
	HTTP *http.Client
	// Extra holds commands of other packages, such as demo and measure.
	Extra []*cli.Command
}

// UsageError reports wrong arguments.
type UsageError struct{ Problem string }

// Error implements error.
func (e *UsageError) Error() string { return e.Problem }

// app is the state that the commands of one run share.
type app struct {
	Options
	// json is set by the --json flag of the command that ran.
	json bool
}

// Run executes the command line, args[0] being the program, and returns the
// exit code.
func Run(ctx context.Context, args []string, o Options) int {
	if o.HTTP == nil {
		o.HTTP = http.DefaultClient
	}
	a := &app{Options: o}
	err := a.root().Run(ctx, args)
	if err == nil {
		return ExitDone
	}
	// A command of another package has its own flag, and a wrong command line
	// is reported before the flag is read.
	a.json = a.json || slices.Contains(args, "--json")
	a.report(err)
	var usage *UsageError
	var faults *config.Faults
	if errors.As(err, &usage) || errors.As(err, &faults) {
		return ExitUsage
	}
	return ExitFailed
}

func (a *app) root() *cli.Command {
	root := &cli.Command{
		Name:        "nutmeghitch",
		Usage:       "configure, inspect and query the query tier",
		Description: "Exit codes: 0 done, 1 failed, 2 wrong usage, configuration or settings.",
		Reader:      a.Stdin,
		Writer:      a.Stdout,
		ErrWriter:   a.Stderr,
		// Errors are reported by Run, which also chooses the exit code.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: append([]*cli.Command{
			a.checkCommand(), a.applyCommand(), a.showCommand(), a.domainCommand(), a.upstreamCommand(),
			a.statusCommand(), a.poisonCommand(), a.queryCommand(), a.callCommand(),
		}, a.Extra...),
	}
	prepare(root)
	return root
}

// prepare makes every command report wrong usage as a UsageError.
func prepare(c *cli.Command) {
	c.HideHelpCommand = true
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &UsageError{Problem: err.Error()}
	}
	if c.Action == nil {
		c.Action = func(_ context.Context, c *cli.Command) error {
			var names []string
			for _, sub := range c.Commands {
				names = append(names, sub.Name)
			}
			if first := c.Args().First(); first != "" {
				return &UsageError{Problem: fmt.Sprintf("unknown command %q%s; see %s --help", first, didYouMean(first, names), c.FullName())}
			}
			return &UsageError{Problem: fmt.Sprintf("missing command; see %s --help", c.FullName())}
		}
	}
	for _, sub := range c.Commands {
		prepare(sub)
	}
}

func didYouMean(word string, known []string) string {
	if s := config.Suggest(word, known); s != "" {
		return fmt.Sprintf(", did you mean %q?", s)
	}
	return ""
}

// report prints an error: as text to the error output or, with --json, as one
// object to the standard output.
func (a *app) report(err error) {
	var faults *config.Faults
	var refusal *errs.Refusal
	switch {
	case !a.json:
		fmt.Fprintf(a.Stderr, "nutmeghitch: %v\n", err)
	case errors.As(err, &faults):
		a.print(faults)
	case errors.As(err, &refusal):
		a.print(map[string]any{"code": refusal.Code, "run_state": refusal.RunState.String(), "detail": refusal.Detail})
	default:
		a.print(map[string]any{"code": errs.InvalidRequest, "run_state": errs.DidNotRun.String(), "detail": err.Error()})
	}
}

// print writes v as indented JSON.
func (a *app) print(v any) {
	e := json.NewEncoder(a.Stdout)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		fmt.Fprintf(a.Stderr, "nutmeghitch: print: %v\n", err)
	}
}

// result prints v with --json and the text otherwise.
func (a *app) result(v any, format string, args ...any) {
	if a.json {
		a.print(v)
		return
	}
	fmt.Fprintf(a.Stdout, format+"\n", args...)
}

func (a *app) jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print JSON for scripts, errors included", Destination: &a.json}
}

func platformFlag() cli.Flag {
	return &cli.StringFlag{Name: "platform", Usage: "URL of the platform; its token is read from " + PlatformTokenEnv,
		Sources: cli.EnvVars("NUTMEGHITCH_PLATFORM")}
}

// store returns the platform that the command line names.
func (a *app) store(c *cli.Command) (platform.Store, error) {
	url := c.String("platform")
	if url == "" {
		return nil, &UsageError{Problem: "missing --platform; the environment variable NUTMEGHITCH_PLATFORM can hold it"}
	}
	return a.OpenStore(url, os.Getenv(PlatformTokenEnv)), nil
}

// arguments checks the number of arguments and returns them.
func arguments(c *cli.Command, names ...string) ([]string, error) {
	args := c.Args().Slice()
	if len(args) != len(names) {
		return nil, &UsageError{Problem: fmt.Sprintf("%s takes %d argument(s) %v, got %d", c.FullName(), len(names), names, len(args))}
	}
	return args, nil
}
