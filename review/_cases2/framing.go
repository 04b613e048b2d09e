package main

import (
	"net/http"
	"time"
)

// framing: some replicas of a service with long answers spoil the head of some of them. What
// ends early must not look complete.
func framing(rec *recorder, trouble bool) (broken bool, err error) {
	// The defaults of garble: share (.5), x (.02).
	const spoiltReplicas, spoiltAnswers = 0.5, 0.02
	s, err := newSite(rec)
	if err != nil {
		return false, err
	}
	defer s.close()
	if err := buildMsaada(s, "idempotent"); err != nil {
		return false, err
	}
	var singles []*replica
	for _, r := range s.replicas {
		if r.service == "itinerary-lookup" {
			r.long = true
			singles = append(singles, r)
		}
	}
	if trouble {
		for _, r := range singles[:int(spoiltReplicas*float64(len(singles)))] {
			r.spoilShare = spoiltAnswers
		}
		rec.say("%d of %d replicas spoil %g of their answers", int(spoiltReplicas*float64(len(singles))), len(singles), spoiltAnswers)
	}
	l := msaadaLoad(s, http.MethodGet)
	time.Sleep(40 * time.Second)
	l.end()
	rules := checkRuns(s, l.attempts)
	by := map[int]int{}
	for _, a := range l.attempts {
		by[a.status]++
	}
	rec.say("%d requests, by status %v; rules broken: %v", len(l.attempts), by, rules)
	return len(rules) > 0, nil
}
