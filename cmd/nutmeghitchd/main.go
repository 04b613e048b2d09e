// Command nutmeghitchd runs one VM of the query tier.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/nutmeghitch/nutmeghitch/pkg/settings"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	os.Exit(run(os.Args[1:], os.Stderr))
}

func run(args []string, stderr io.Writer) int {
	s, code := load(args, stderr)
	if s == nil {
		return code
	}
	return serve(s, stderr)
}

// load reads the settings that the command line names. It returns nil and the
// exit code when there is nothing to serve.
func load(args []string, stderr io.Writer) (*settings.Settings, int) {
	flags := flag.NewFlagSet("nutmeghitchd", flag.ContinueOnError)
	flags.SetOutput(stderr)
	file := flags.String("settings", "", "settings `file` of this VM, JSON with comments")
	checkOnly := flags.Bool("check", false, "check the settings and exit")
	flags.Usage = func() {
		fmt.Fprintln(stderr, "Usage: nutmeghitchd --settings FILE [--check]\nExample: nutmeghitchd --settings /etc/nutmeghitch/vm.jsonc")
		flags.PrintDefaults()
	}
	switch err := flags.Parse(args); {
	case err == flag.ErrHelp:
		return nil, exitDone
	case err != nil:
		return nil, exitUsage
	case *file == "" || flags.NArg() > 0:
		flags.Usage()
		return nil, exitUsage
	}
	s, err := settings.LoadFile(*file)
	if err != nil {
		fmt.Fprintf(stderr, "nutmeghitchd: %v\n", err)
		return nil, exitUsage
	}
	if *checkOnly {
		fmt.Fprintf(stderr, "nutmeghitchd: settings of VM %s are correct\n", s.VM)
		return nil, exitDone
	}
	return s, exitDone
}

// serve reports that this build cannot run a VM: pkg/node, which runs one,
// does not exist yet.
func serve(s *settings.Settings, stderr io.Writer) int {
	fmt.Fprintf(stderr, "nutmeghitchd: VM %s is configured, but this build has no pkg/node to run it\n", s.VM)
	return exitFailed
}
