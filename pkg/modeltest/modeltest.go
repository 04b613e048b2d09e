// Package modeltest fixes the seed of the stateful model tests, so that every
// run of the test command gives the same verdict. Tests import it for its
// effect; -rapid.seed on the command line overrides the seed.
package modeltest

import (
	"flag"

	// Registers the flag -rapid.seed before init runs.
	_ "pgregory.net/rapid"
)

// Seed is used by every model test unless the command line names another.
const Seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", Seed); err != nil {
		panic(err)
	}
}
