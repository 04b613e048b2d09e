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

// Guards against a check that accepts settings the VM cannot start with, or
// that tells one fault at a time.
func TestCheckTellsFaults(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	assert.NilError(t, os.WriteFile(bad, []byte("zone: d1\n"), 0o600))
	var out, errOut bytes.Buffer
	assert.Equal(t, run([]string{"--settings", bad, "--check"}, &out, &errOut), command.Usage)
	for _, fault := range []string{"bad.yaml", "name of the VM", "address for the balancer"} {
		assert.Assert(t, strings.Contains(errOut.String(), fault), errOut.String())
	}
	good := filepath.Join(t.TempDir(), "good.yaml")
	assert.NilError(t, standin.WriteSettings(good, standin.VMSettings{Name: "vm1", Domain: "d1", CallersAddr: "127.0.0.1:1", ReadyAddr: "127.0.0.1:2", PeersAddr: "127.0.0.1:3", StoreAddr: "127.0.0.1:4"}))
	assert.Equal(t, run([]string{"--settings", good, "--check"}, &out, &errOut), command.Done)
}

// Guards against wrong usage that starts a VM, and help on the wrong stream.
func TestUsage(t *testing.T) {
	var out, errOut bytes.Buffer
	assert.Equal(t, run([]string{"extra"}, &out, &errOut), command.Usage)
	assert.Equal(t, run([]string{"--unknown"}, &out, &errOut), command.Usage)
	assert.Equal(t, out.Len(), 0)
	assert.Equal(t, run([]string{"--help"}, &out, &errOut), command.Done)
	assert.Assert(t, strings.Contains(out.String(), "--settings"))
}
