package main

import (
	"fmt"
	"net/http"
	"time"
)

// stray: another writer puts entries for the replicas of one service beside their own. They
// lack fields, so that they name no replica to use, and the entries of the replicas hold.
// The route to that service was added later than the others.
func stray(rec *recorder, trouble bool) (broken bool, err error) {
	s, err := newSite(rec)
	if err != nil {
		return false, err
	}
	defer s.close()
	if err := buildMsaada(s, "idempotent"); err != nil {
		return false, err
	}
	l := msaadaLoad(s, http.MethodGet)
	time.Sleep(3 * time.Second)
	var accounts []*replica
	for i := range 13 {
		r, err := s.addReplica(fmt.Sprintf("i-a%03d", i+1), "member-accounts", []string{"nbo-a", "nbo-b", "nbo-c", "nbo-d"}[i%4], 60*time.Millisecond)
		if err != nil {
			return false, err
		}
		r.register("ready")
		accounts = append(accounts, r)
	}
	putManifest(s, 9, "idempotent", addedRoute)
	rec.say("version 9 adds the route /acct55/ to member-accounts")
	for vm := range s.vms {
		l.callers(s, vm, 2, 500*time.Millisecond, func(c *consumer) *attempt {
			return c.send(http.MethodGet, hostOne, fmt.Sprintf("/acct55/%x", time.Now().UnixNano()), 5*time.Second, "")
		})
	}
	time.Sleep(7 * time.Second)
	if trouble {
		for i, r := range accounts {
			s.store.Put("servers", fmt.Sprintf("agent-%02d", i+1), map[string]any{"backend": r.service, "address": r.addr, "zone": r.zone, "state": "ready"})
		}
		rec.say("another writer has put %d entries without version, concurrency, warmup_left_ms, seq and born", len(accounts))
	}
	// The bound of a change and the time in which a disturbance counts have passed then.
	time.Sleep(7 * time.Second)
	from := time.Now()
	time.Sleep(20 * time.Second)
	l.end()
	count := map[string][2]int{}
	by := map[int]int{}
	for _, a := range l.attempts {
		if a.sentAt.Before(from) {
			continue
		}
		kind := "first routes"
		if len(a.path) > 8 && a.path[:8] == "/acct55/" {
			kind = "added route"
			by[a.status]++
		}
		n := count[kind]
		n[0]++
		if a.status == 200 {
			n[1]++
		}
		count[kind] = n
	}
	first, added := count["first routes"], count["added route"]
	rec.say("first routes: %d of %d served; added route: %d of %d served, by status %v", first[1], first[0], added[1], added[0], by)
	if first[0] == 0 || first[1] == 0 || added[0] < 20 {
		return false, fmt.Errorf("too few requests")
	}
	return float64(added[1])/float64(added[0]) < 0.25*float64(first[1])/float64(first[0]), nil
}

// newline: another writer puts entries for the replicas of a service under their ids with a
// line end, as a script does that takes the id from a command's output.
func newline(rec *recorder, trouble bool) (broken bool, err error) {
	s, err := newSite(rec)
	if err != nil {
		return false, err
	}
	defer s.close()
	if err := buildMsaada(s, "non_idempotent"); err != nil {
		return false, err
	}
	l := msaadaLoad(s, http.MethodPost)
	time.Sleep(8 * time.Second)
	if trouble {
		n := 0
		for _, r := range s.replicas {
			if r.service == "itinerary-lookup" {
				n++
				s.store.Put("servers", r.id+"\n", map[string]any{"backend": r.service, "address": r.addr, "zone": r.zone, "state": "ready"})
			}
		}
		rec.say("another writer has put %d entries, each under the id of a replica and a line end, without version, concurrency, warmup_left_ms, seq and born", n)
	}
	time.Sleep(20 * time.Second)
	l.end()
	rules := checkRuns(s, l.attempts)
	by := map[int]int{}
	for _, a := range l.attempts {
		by[a.status]++
	}
	rec.say("%d requests, by status %v; rules broken: %v", len(l.attempts), by, rules)
	return len(rules) > 0, nil
}
