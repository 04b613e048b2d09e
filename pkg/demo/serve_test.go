package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/pkg/cli"
)

// cancelOnWrite ends a served site as soon as its endpoints are printed.
type cancelOnWrite struct {
	bytes.Buffer
	cancel context.CancelFunc
}

func (w *cancelOnWrite) Write(p []byte) (int, error) {
	n, err := w.Buffer.Write(p)
	if strings.Contains(w.String(), "--key") || bytes.HasSuffix(w.Bytes(), []byte("}\n")) {
		w.cancel()
	}
	return n, err
}

// Guards against served addresses that a script cannot read.
func TestServePrintsEndpointsAsJSON(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	out := &cancelOnWrite{cancel: cancel}
	assert.NilError(t, serve(ctx, Config{Site: "podstavek", Seed: 1, Progress: io.Discard}, true, out))
	var e endpoints
	assert.NilError(t, json.Unmarshal(out.Bytes(), &e))
	assert.Equal(t, len(e.VMs), vmCount)
}

// Guards against printed commands that fail when they are pasted.
func TestPrintedCommandsSucceed(t *testing.T) {
	for _, site := range []string{"msaada", "podstavek"} {
		cluster, err := Site(t.Context(), Config{Site: site, Seed: 1, Progress: io.Discard})
		assert.NilError(t, err)
		defer cluster.Close()
		var text bytes.Buffer
		endpointsOf(site, cluster).writeText(&text, mixOf(cluster), 1)
		ran := 0
		for line := range strings.Lines(text.String()) {
			line = strings.TrimSpace(line)
			if vars, ok := strings.CutPrefix(line, "export "); ok {
				for _, v := range strings.Fields(vars) {
					name, value, _ := strings.Cut(v, "=")
					t.Setenv(name, value)
				}
			}
			if args, ok := strings.CutPrefix(line, "go run ./cmd/nutmeghitch "); ok {
				var out bytes.Buffer
				code := cli.Run(t.Context(), append([]string{"nutmeghitch"}, strings.Fields(strings.ReplaceAll(args, "'", ""))...),
					cli.Options{Stdout: &out, Stderr: &out, OpenStore: cli.OpenPlatform})
				assert.Equal(t, code, cli.ExitDone, "%s\n%s", line, out.String())
				ran++
			}
		}
		assert.Equal(t, ran, 4)
	}
}
