package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmeghitch/nutmeghitch/examples"
	"github.com/nutmeghitch/nutmeghitch/pkg/config"
	"github.com/nutmeghitch/nutmeghitch/pkg/fake"
)

// Guards against a base file from "show" that "apply" refuses or that changes
// the configuration.
func TestShownBaseFileLoads(t *testing.T) {
	for _, site := range examples.Sites() {
		p := fake.NewPlatform(fake.PlatformConfig{})
		defer p.Close()
		doc, err := examples.Document(site)
		assert.NilError(t, err)
		_, err = config.Publish(t.Context(), OpenPlatform(p.URL(), ""), doc, 0)
		assert.NilError(t, err)
		var out, stderr bytes.Buffer
		code := Run(context.Background(), []string{"nutmeghitch", "show", "--platform", p.URL(), "--base-file"},
			Options{Stdout: &out, Stderr: &stderr, OpenStore: OpenPlatform})
		assert.Equal(t, code, ExitDone, stderr.String())
		file := filepath.Join(t.TempDir(), "base.jsonc")
		assert.NilError(t, os.WriteFile(file, out.Bytes(), 0o600))
		merged, err := config.LoadFiles(file)
		assert.NilError(t, err)
		want, _ := config.Split(doc)
		got, _ := config.Split(merged.Document)
		assert.DeepEqual(t, got.Sections, want.Sections)
	}
}
