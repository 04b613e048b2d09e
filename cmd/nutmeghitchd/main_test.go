package main

import (
	"bytes"
	"strings"
	"testing"

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
		"--help":                             exitDone,
		"":                                   exitUsage,
		"--settings missing.jsonc":           exitUsage,
		"--settings " + example + " --check": exitDone,
		"--settings " + example + " extra":   exitUsage,
	} {
		var stdout, stderr bytes.Buffer
		assert.Equal(t, run(strings.Fields(args), &stdout, &stderr), want, "%s: %s", args, stderr.String())
		assert.Equal(t, stdout.Len() > 0, args == "--help", "%s: standard output is %q", args, stdout.String())
	}
	t.Setenv("NUTMEGHITCH_PEER_SECRET", "short")
	assert.Equal(t, run([]string{"--settings", example, "--check"}, &bytes.Buffer{}, &bytes.Buffer{}), exitUsage)
}
