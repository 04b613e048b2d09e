// Package command runs the command line of a daemon: help, wrong usage and
// exit codes are the same for all of them.
package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	Done   = 0
	Failed = 1
	Usage  = 2
)

// Run parses args and calls action, which returns the exit code. Help that was
// asked for is data and goes to stdout; messages on wrong usage go to stderr.
func Run(cmd *cli.Command, args []string, stdout, stderr io.Writer, action func(ctx context.Context, c *cli.Command) int) int {
	code := Usage
	cmd.HideHelpCommand = true
	cmd.Writer, cmd.ErrWriter = stderr, stderr
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	cmd.Action = func(ctx context.Context, c *cli.Command) error {
		if c.NArg() > 0 {
			fmt.Fprintf(stderr, "%s: unexpected argument %q\n", cmd.Name, c.Args().First())
			return nil
		}
		code = action(ctx, c)
		return nil
	}
	for _, a := range args {
		if a == "--help" || a == "-h" {
			code, cmd.Writer = Done, stdout
		}
	}
	if err := cmd.Run(context.Background(), append([]string{cmd.Name}, args...)); err != nil {
		return Usage
	}
	return code
}
