package main

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// promised are the statuses that say that a request has not run and never will.
var promised = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// checkRuns counts what breaks UNASKED, TWICE, REFUSED and MIXED.
func checkRuns(s *site, attempts []*attempt) map[string]int {
	broken := map[string]int{}
	tell := func(rule, format string, args ...any) {
		broken[rule]++
		if broken[rule] <= 5 {
			s.rec.say(rule+": "+format, args...)
		}
	}
	for _, a := range attempts {
		runs := s.runsOf(a.id)
		for _, r := range runs {
			if r.method != a.method || r.uri != a.path || r.body != a.content {
				tell("UNASKED", "%s was sent as %s %s with a body of %d bytes, and ran as %s %s with a body of %d bytes", a.id, a.method, a.path, len(a.content), r.method, r.uri, len(r.body))
			}
		}
		if !a.idempotent && len(runs) > 1 {
			tell("TWICE", "%s has run %d times", a.id, len(runs))
		}
		if !a.idempotent && slices.Contains(promised, a.status) && len(runs) > 0 {
			tell("REFUSED", "%s was answered %d and has run at %s", a.id, a.status, runs[0].replica.id)
		}
		if a.status >= 200 && a.status < 300 {
			checkSuccess(a, runs, tell)
		}
	}
	return broken
}

func checkSuccess(a *attempt, runs []run, tell func(rule, format string, args ...any)) {
	if id := a.header.Get("X-Request-Id"); id != "" && id != a.id {
		tell("MIXED", "%s got the answer of %s", a.id, id)
	}
	parts := a.header.Get("X-Part-Stamps")
	if parts == "" {
		stamp := a.header.Get("X-Server-Stamp")
		i := slices.IndexFunc(runs, func(r run) bool { return r.stamp == stamp })
		if i < 0 {
			tell("MIXED", "%s got a success with the receipt %q, which no run gave", a.id, stamp)
		} else if !bytes.Equal(a.body, runs[i].replica.answer(a.id)) {
			tell("MIXED", "%s got %d, a complete answer of %d bytes; the whole body has %d", a.id, a.status, len(a.body), len(runs[i].replica.answer(a.id)))
		}
		return
	}
	var records [][]byte
	services := map[string]bool{}
	for _, stamp := range strings.Split(parts, ", ") {
		i := slices.IndexFunc(runs, func(r run) bool { return r.stamp == stamp })
		if i < 0 || services[runs[i].replica.service] {
			tell("MIXED", "%s names the receipt %q", a.id, stamp)
			return
		}
		service := runs[i].replica.service
		services[service] = true
		for body := answerBody(service, a.id); len(body) > 0; body = body[16:] {
			records = append(records, body[:16])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if missing, _ := strconv.Atoi(a.header.Get("X-Missing-Parts")); missing+len(services) != 10 {
		tell("MIXED", "%s has %d parts and lacks %d", a.id, len(services), missing)
	}
	if !bytes.Equal(a.body, bytes.Join(records[:min(50, len(records))], nil)) {
		tell("MIXED", "%s is not made of the greatest records of its parts", a.id)
	}
}
