package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/command"
	"github.com/nutmeghitch/nutmeghitch/platform/standin"
)

// Guards against a check that accepts settings with which the VM cannot start, or
// that reports only the first of several faults.
func TestCheckReportsAllFaults(t *testing.T) {
	invalidFile := filepath.Join(t.TempDir(), "bad.yaml")
	assert.NilError(t, os.WriteFile(invalidFile, []byte("zone: d1\n"), 0o600))
	var out, errOut bytes.Buffer
	assert.Equal(t, run([]string{"--settings", invalidFile, "--check"}, &out, &errOut), command.ExitUsage)
	for _, fault := range []string{"bad.yaml", "name of the VM", "address for the balancer"} {
		assert.Assert(t, strings.Contains(errOut.String(), fault), errOut.String())
	}
	validFile := filepath.Join(t.TempDir(), "good.yaml")
	assert.NilError(t, standin.WriteSettings(validFile, standin.VMSettings{Name: "vm1", Domain: "d1", CallersAddr: "127.0.0.1:1", ReadyAddr: "127.0.0.1:2", PeersAddr: "127.0.0.1:3", StoreAddr: "127.0.0.1:4"}))
	assert.Equal(t, run([]string{"--settings", validFile, "--check"}, &out, &errOut), command.ExitDone)
}

// Guards against starting a VM after a usage error, and against help and usage errors
// on the wrong output stream.
func TestUsage(t *testing.T) {
	var out, errOut bytes.Buffer
	assert.Equal(t, run([]string{"extra"}, &out, &errOut), command.ExitUsage)
	assert.Equal(t, run([]string{"--unknown"}, &out, &errOut), command.ExitUsage)
	assert.Equal(t, out.Len(), 0)
	assert.Equal(t, run([]string{"--help"}, &out, &errOut), command.ExitDone)
	assert.Assert(t, strings.Contains(out.String(), "--settings"))
}
