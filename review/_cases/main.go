// Command cases plays the cases of the review. Each starts VM processes of the tier
// and stand-ins for the store, the servers and the consumers on loopback.
//
//	cases CASE EDGE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
// With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases holds the cases by name. Each returns what broke its rule.
var cases = map[string]func(s *site, trouble bool) ([]string, error){
	"refused": refusedCase,
	"twice":   twiceCase,
	"drain":   drainCase,
	"leaving": leavingCase,
	"crash":   crashCase,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE EDGE RECORD")
		return 2
	}
	edge, err := filepath.Abs(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r, err := newRecord(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.out.Close()
	s, err := newSite(r, edge)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	defer s.copyLogs()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		s.close()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, trouble %t", args[0], trouble)
	broken, err := cases[args[0]](s, trouble)
	if err != nil {
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, line := range broken {
		r.add("BROKEN %s", line)
		fmt.Println("BROKEN", line)
	}
	if len(broken) > 0 {
		return 1
	}
	r.add("the rule held")
	fmt.Println("the rule held")
	return 0
}
