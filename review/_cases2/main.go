// Command review-2 plays one case of the review against the program of the deploy file.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases are the plays by name. Each returns whether the rule was broken.
var cases = map[string]func(rec *recorder, trouble bool) (bool, error){
	"newline":        newline,
	"framing":        framing,
	"stale-manifest": staleManifest,
	"evacuation":     evacuation,
	"stray":          stray,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(2)
	}
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		os.Exit(2)
	case broken:
		rec.say("the rule was broken")
		os.Exit(1)
	}
	rec.say("the rule held")
}
