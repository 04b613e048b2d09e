// Package command parses the command lines of nutmeghitchd, nutmeghitch-edge and
// nutmeghitch-soak, so that their help, usage errors and exit codes are alike.
package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// Exit codes of the programs.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Run parses args, calls action and returns the exit code of action. On a usage
// error it returns ExitUsage without calling action. Requested help goes to stdout,
// usage errors go to stderr.
func Run(cmd *cli.Command, args []string, stdout, stderr io.Writer, action func(ctx context.Context, c *cli.Command) int) int {
	code := ExitUsage
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
	for _, arg := range args {
		if arg == "--help" || arg == "-h" {
			code, cmd.Writer = ExitDone, stdout
		}
	}
	if err := cmd.Run(context.Background(), append([]string{cmd.Name}, args...)); err != nil {
		return ExitUsage
	}
	return code
}
