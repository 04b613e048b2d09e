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

// Guards against wrong exit codes and against example settings that do not
// load.
func TestExitCodes(t *testing.T) {
	const example = "../../examples/settings/nbo-a-1.jsonc"
	for _, name := range []string{"NUTMEGHITCH_PLATFORM_TOKEN", "NUTMEGHITCH_PEER_SECRET", "NUTMEGHITCH_OPERATOR_TOKEN"} {
		t.Setenv(name, "0123456789abcdef")
	}
	for args, want := range map[string]int{
		"--help":                             command.Done,
		"":                                   command.Usage,
		"--settings missing.jsonc":           command.Usage,
		"--settings " + example + " --check": command.Done,
		"--settings " + example + " extra":   command.Usage,
	} {
		var stdout, stderr bytes.Buffer
		assert.Equal(t, run(strings.Fields(args), &stdout, &stderr), want, "%s: %s", args, stderr.String())
		assert.Equal(t, stdout.Len() > 0, args == "--help", "%s: standard output is %q", args, stdout.String())
	}
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer taken.Close()
	data, err := os.ReadFile(example)
	assert.NilError(t, err)
	busy := filepath.Join(t.TempDir(), "busy.jsonc")
	text := strings.ReplaceAll(string(data), "127.0.0.1:20001", taken.Addr().String())
	assert.NilError(t, os.WriteFile(busy, []byte(text), 0o600))
	var stderr bytes.Buffer
	assert.Equal(t, run([]string{"--settings", busy}, io.Discard, &stderr), command.Failed)
	assert.Equal(t, stderr.String(), "nutmeghitchd: address_in_use (did_not_run): listen.callers.addr: "+taken.Addr().String()+" is used by another process\n")
	t.Setenv("NUTMEGHITCH_PEER_SECRET", "short")
	assert.Equal(t, run([]string{"--settings", example, "--check"}, &bytes.Buffer{}, &bytes.Buffer{}), command.Usage)
}
