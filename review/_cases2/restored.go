package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/nutmeghitch/nutmeghitch/platform/standin"
)

const (
	// writtenAgainAfter is how long the operator takes to write again what the store has
	// lost. The pages name no time for it; the code allows 30 s for a manifest.
	writtenAgainAfter = 8 * time.Second
	contact           = 4 * time.Second // contact_ms
	evacuate          = 5 * time.Second // evacuate_ms
)

// restore lets the store be away for two seconds and come back from a copy.
func restore(s *site, older standin.Copy) {
	s.store.SetMode(standin.Reset, false)
	time.Sleep(2 * time.Second)
	s.store.Restore(older)
	for _, r := range s.replicas {
		r.register("ready")
	}
	s.store.SetMode(standin.Healthy, false)
}

// evacuation: a zone is evacuated, and the store comes back from a copy that is older. The
// operator writes the evacuation again some time later.
func evacuation(rec *recorder, trouble bool) (broken bool, err error) {
	const zone = "nbo-b"
	s, err := newSite(rec)
	if err != nil {
		return false, err
	}
	defer s.close()
	if err := buildMsaada(s, "idempotent"); err != nil {
		return false, err
	}
	l := msaadaLoad(s, http.MethodGet)
	time.Sleep(4 * time.Second)
	older := s.store.Copy()
	time.Sleep(time.Second)
	s.store.Put("evacuations", zone, map[string]any{})
	acked := time.Now()
	rec.say("the evacuation of %s is acknowledged", zone)
	time.Sleep(6 * time.Second)
	back := acked
	if trouble {
		restore(s, older)
		back = time.Now()
		rec.say("the store is back from a copy that is 7 s old")
		time.Sleep(writtenAgainAfter)
		s.store.Put("evacuations", zone, map[string]any{})
		rec.say("the operator has written the evacuation again after %s", writtenAgainAfter)
	} else {
		time.Sleep(writtenAgainAfter)
	}
	time.Sleep(8 * time.Second)
	l.end()
	// Machines are in touch contact_ms after the end of the disturbance of the store.
	from := acked.Add(evacuate)
	if trouble {
		from = back.Add(contact)
	}
	reached, total := 0, 0
	perSecond := map[int]int{}
	for _, a := range l.attempts {
		for _, r := range s.runsOf(a.id) {
			if r.at.Before(from) || r.replica.zone != zone {
				continue
			}
			reached++
			perSecond[int(r.at.Sub(acked).Seconds())]++
		}
		total++
	}
	rec.say("%d requests; %d runs at replicas of %s later than evacuate_ms after the ack, by machines in touch; by second after the ack: %v", total, reached, zone, perSecond)
	return reached > 0, nil
}

// staleManifest: a version that adds a route is acknowledged and in force everywhere, and the
// store comes back from an older copy. One process is killed and starts again before the
// operator has written the version again.
func staleManifest(rec *recorder, trouble bool) (broken bool, err error) {
	s, l, older, err := addRoute(rec)
	if err != nil {
		return false, err
	}
	defer s.close()
	watchers := s.watchers()
	rec.say("the manifest is watched in the store by %d machines", len(watchers))
	if len(watchers) == 0 {
		return false, fmt.Errorf("no machine watches the manifest")
	}
	killed := s.vms[watchers[0]]
	back := time.Now()
	if trouble {
		restore(s, older)
		back = time.Now()
		rec.say("the store is back from a copy that is older than version 9; %s is killed", killed.name)
		killed.signal(syscall.SIGKILL)
	}
	time.Sleep(writtenAgainAfter)
	if trouble {
		putManifest(s, 9, "idempotent", addedRoute)
		rec.say("the operator has written version 9 again after %s", writtenAgainAfter)
	}
	time.Sleep(6 * time.Second)
	l.end()
	// The process starts again 0.3 s after its end, and is ready at once.
	from := back.Add(contact + 2*time.Second)
	stale, perSecond := map[string]int{}, map[int]int{}
	for _, a := range l.attempts {
		if a.status == http.StatusNotFound && a.sentAt.After(from) {
			stale[s.vms[a.vm].name]++
			perSecond[int(a.sentAt.Sub(back).Seconds())]++
		}
	}
	rec.say("%d requests on the added route; answered 404 later than contact_ms after the restart and the return of the store, by machine: %v, by second after the return: %v", len(l.attempts), stale, perSecond)
	return len(stale) > 0, nil
}

// addRoute starts the site and adds a route by version 9. It returns a copy of the store from
// before that.
func addRoute(rec *recorder) (s *site, l *load, older standin.Copy, err error) {
	if s, err = newSite(rec); err != nil {
		return nil, nil, older, err
	}
	defer func() {
		if err != nil {
			s.close()
		}
	}()
	if err = buildMsaada(s, "idempotent"); err != nil {
		return nil, nil, older, err
	}
	for i, zone := range []string{"nbo-a", "nbo-b", "nbo-c", "nbo-d"} {
		r, err := s.addReplica(fmt.Sprintf("i-a%03d", i+1), "member-accounts", zone, 20*time.Millisecond)
		if err != nil {
			return nil, nil, older, err
		}
		r.register("ready")
	}
	time.Sleep(time.Second)
	older = s.store.Copy()
	time.Sleep(time.Second)
	putManifest(s, 9, "idempotent", addedRoute)
	rec.say("version 9, which adds a route, is acknowledged")
	l = newLoad()
	for vm := range s.vms {
		l.callers(s, vm, 2, 200*time.Millisecond, func(c *consumer) *attempt {
			return c.send(http.MethodGet, hostOne, fmt.Sprintf("/acct55/%x", time.Now().UnixNano()), 5*time.Second, "")
		})
	}
	time.Sleep(5 * time.Second)
	return s, l, older, nil
}
