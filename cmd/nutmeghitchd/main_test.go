package main

import (
	"bytes"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/nutmeghitch/nutmeghitch/pkg/command"
	"gotest.tools/v3/assert"
)

// Guards against wrong exit codes, and against example settings that cannot be loaded.
func TestExitCodes(t *testing.T) {
	const example = "../../examples/settings/nbo-a-1.jsonc"
	for _, name := range []string{"NUTMEGHITCH_PLATFORM_TOKEN", "NUTMEGHITCH_PEER_SECRET", "NUTMEGHITCH_OPERATOR_TOKEN"} {
		t.Setenv(name, "0123456789abcdef")
	}
	for args, want := range map[string]int{
		"--help":                             command.ExitDone,
		"":                                   command.ExitUsage,
		"--settings missing.jsonc":           command.ExitUsage,
		"--settings " + example + " --check": command.ExitDone,
		"--settings " + example + " extra":   command.ExitUsage,
	} {
		var stdout, stderr bytes.Buffer
		assert.Equal(t, run(strings.Fields(args), &stdout, &stderr), want, "%s: %s", args, stderr.String())
		assert.Equal(t, stdout.Len() > 0, args == "--help", "%s: standard output is %q", args, stdout.String())
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	data, err := os.ReadFile(example)
	assert.NilError(t, err)
	settingsFile := filepath.Join(t.TempDir(), "busy.jsonc")
	text := strings.ReplaceAll(string(data), "127.0.0.1:20001", listener.Addr().String())
	assert.NilError(t, os.WriteFile(settingsFile, []byte(text), 0o600))
	var stderr bytes.Buffer
	assert.Equal(t, run([]string{"--settings", settingsFile}, io.Discard, &stderr), command.ExitFailed)
	assert.Equal(t, stderr.String(), "nutmeghitchd: address_in_use (did_not_run): listen.callers.addr: "+listener.Addr().String()+" is used by another process\n")
	t.Setenv("NUTMEGHITCH_PEER_SECRET", "short")
	assert.Equal(t, run([]string{"--settings", example, "--check"}, &bytes.Buffer{}, &bytes.Buffer{}), command.ExitUsage)
}
