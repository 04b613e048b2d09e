package soak

import (
	"fmt"
	"net/http"
	"os"
	"testing"

	"github.com/nutmeghitch/nutmeghitch/pkg/topk"
	"github.com/nutmeghitch/nutmeghitch/platform"
	"github.com/nutmeghitch/nutmeghitch/platform/standin"
)

// runTests runs the tests with a folder for the programs that they build.
func runTests(m *testing.M) {
	dir, err := os.MkdirTemp("", "nutmeghitch-soak-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	programs = dir
	code := m.Run()
	_ = os.RemoveAll(dir) // a folder for temporary files
	os.Exit(code)
}

func newCheckerForTest() *checker { return &checker{runs: standin.NewRunLog(), sets: shardSets} }

func answerHeader(receipts, missing string) http.Header {
	h := http.Header{}
	h.Set(platform.Headers.Receipts, receipts)
	h.Set(platform.Headers.MissingShards, missing)
	return h
}

func mergeOf(id string, services ...string) []byte {
	var parts [][]byte
	for _, s := range services {
		parts = append(parts, standin.Body(s, id))
	}
	return topk.Merge(standin.TopK, parts)
}
