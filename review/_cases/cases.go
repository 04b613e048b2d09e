package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// perSecond is the rate of yard-check in podstavek-iskanje.
const perSecond = 45

// faultFor returns a disruption that strikes a share of the requests for a time.
func (s *site) faultFor(length time.Duration, share float64, f fault) func() fault {
	return func() fault {
		if since := time.Since(s.troubleAt()); since > 0 && since < length && rand.Float64() < share {
			return f
		}
		return faultNone
	}
}

// refusedCase: servers fail part of their requests after they have run them, and answer
// 503 without X-Not-Executed.
func refusedCase(s *site, trouble bool) ([]string, error) {
	const (
		servers = 7
		// faulty, share and length are the largest of srv_grey: a share of 0.15 of the
		// servers, 0.4 of their requests, 6.5 s.
		faulty = 1
		share  = 0.4
		length = 6500 * time.Millisecond
	)
	for i := range servers {
		r, err := s.startReplica("yard", replicaZones[i%len(replicaZones)], 90*time.Millisecond)
		if err != nil {
			return nil, err
		}
		if trouble && i < faulty {
			r.fault = s.faultFor(length, share, fault503)
		}
	}
	s.configure([]route{{"yard", "/yard/", "non_idempotent", "yard", 6000, 400, 2}}, []string{"yard"})
	if err := s.startVMs(4); err != nil {
		return nil, err
	}
	s.startTrouble()
	c := &consumers{site: s}
	c.load(perSecond, length+2*time.Second, func(n int) string { return fmt.Sprintf("/yard/%d", n) })
	var broken []string
	runs := map[string]int{}
	for _, a := range c.attempts() {
		ran := s.seen.runsOf(a.id)
		runs[a.order] += len(ran)
		if promise(a.status) && len(ran) > 0 {
			broken = append(broken, fmt.Sprintf("REFUSED: %s is not idempotent, has run %d times, and was answered %d by %s", a.id, len(ran), a.status, a.vm.name))
		}
	}
	for order, n := range runs {
		if n > 1 {
			s.record.add("order %s was carried out %d times: its consumer sent it again after the promise that it had not run", order, n)
		}
	}
	return broken, nil
}

// twiceCase: answers of servers are lost. The ids of orders hold a slash, which their
// consumers send as %2F.
func twiceCase(s *site, trouble bool) ([]string, error) {
	const (
		servers = 5
		// faulty, share and length are those of answer_lost on yard-board.
		faulty = 4
		share  = 0.08
		length = 5 * time.Second
	)
	for i := range servers {
		for _, service := range []string{"orders", "reports"} {
			r, err := s.startReplica(service, replicaZones[i%len(replicaZones)], 20*time.Millisecond)
			if err != nil {
				return nil, err
			}
			if trouble && i < faulty {
				r.fault = s.faultFor(length, share, faultLost)
			}
		}
	}
	s.configure([]route{
		{"orders", "/orders/", "non_idempotent", "orders", 6000, 2000, 2},
		{"reports", "/orders/reports/", "idempotent", "reports", 6000, 2000, 2},
	}, []string{"orders", "reports"})
	if err := s.startVMs(4); err != nil {
		return nil, err
	}
	s.startTrouble()
	c := &consumers{site: s}
	// The path begins with /orders/ and not with /orders/reports/: %2F is no slash.
	c.load(perSecond, length+time.Second, func(n int) string { return fmt.Sprintf("/orders/reports%%2F%d", n) })
	var broken []string
	elsewhere := 0
	for _, a := range c.attempts() {
		ran := s.seen.runsOf(a.id)
		if len(ran) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s (%s, route orders, not idempotent) has run %d times, at %v, and was answered %d by %s", a.id, a.path, len(ran), ran, a.status, a.vm.name))
		}
		for _, service := range ran {
			if service != "orders" {
				elsewhere++
			}
		}
	}
	s.record.add("%d runs at a service to which the route of the request does not lead", elsewhere)
	return broken, nil
}

// slowBody delivers a body piece by piece.
type slowBody struct {
	left, piece int
	pause       time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	n := min(b.left, b.piece, len(p))
	for i := range p[:n] {
		p[i] = 'x'
	}
	b.left -= n
	return n, nil
}

// drainCase: a server leaves as planned while consumers with slow links upload.
func drainCase(s *site, trouble bool) ([]string, error) {
	const (
		// bodyBytes in pieces of pieceBytes, one each uploadPause: 3.6 s.
		bodyBytes, pieceBytes = 180 << 10, 10 << 10
		uploadPause           = 200 * time.Millisecond
		uploads               = 4
		// exitAfter is the time from the ack to the end of the leaving server:
		// drain_timeout_ms and a little longer.
		exitAfter = drainTimeout + 700*time.Millisecond
		// One of the servers leaves, a share of 0.09.
		servers = 11
		// work is that of long requests of yard-check.
		work = 500 * time.Millisecond
	)
	for i := range servers {
		if _, err := s.startReplica("yard", replicaZones[i%len(replicaZones)], work); err != nil {
			return nil, err
		}
	}
	s.configure([]route{{"yard", "/yard/", "non_idempotent", "yard", 6000, 400, 2}}, []string{"yard"})
	if err := s.startVMs(4); err != nil {
		return nil, err
	}
	c := &consumers{site: s}
	var uploading sync.WaitGroup
	for i := range uploads {
		for _, v := range s.vms {
			uploading.Go(func() {
				time.Sleep(time.Duration(i) * 50 * time.Millisecond)
				c.post(v, fmt.Sprintf("/yard/%d", i), fmt.Sprintf("%s-%d", v.name, i), &slowBody{bodyBytes, pieceBytes, uploadPause}, bodyBytes)
			})
		}
	}
	time.Sleep(300 * time.Millisecond)
	leaving := s.replicas[0]
	var ack time.Time
	var exit *time.Timer
	if trouble {
		ack = leaving.drain()
		s.record.add("store has acknowledged that server %s is draining", leaving.id)
		exit = time.AfterFunc(exitAfter, func() {
			s.record.add("server %s exits", leaving.id)
			leaving.exit()
		})
		defer exit.Stop()
	}
	uploading.Wait()
	var broken []string
	if trouble {
		s.seen.mu.Lock()
		for _, a := range s.seen.arrivals {
			if late := a.at.Sub(ack); a.server == leaving && late > drainTimeout {
				broken = append(broken, fmt.Sprintf("DRAIN: %s has reached %s %.3f s after the store acknowledged that it drains; %s allowed", a.id, leaving.id, late.Seconds(), drainTimeout))
			}
		}
		s.seen.mu.Unlock()
	}
	for _, a := range c.attempts() {
		if ran := s.seen.runsOf(a.id); len(ran) > 0 && a.status != http.StatusOK {
			s.record.add("lost: %s has begun to run, was not carried out, and its consumer has status %d %s", a.id, a.status, a.failure)
		}
	}
	return broken, nil
}

// leavingCase: a VM loses its links to all servers, and a little later its way to the
// store. Meanwhile a server leaves as planned, and says so in its answers, which the VM
// gets through another VM and passes on. Then the links are back.
func leavingCase(s *site, trouble bool) ([]string, error) {
	const (
		perSecond = 20
		// Orders for billing come to the VM that is cut, from billsAt on.
		billsPerSecond = 8
		// One of the servers of billing leaves, a share of 0.125.
		billingServers, yardServers = 8, 3
		// The times are counted from the loss of the links.
		billsAt                                = 2 * time.Second
		leaveAt, reportAt, linksBackAt, exitAt = 6 * time.Second, 6300 * time.Millisecond, 9300 * time.Millisecond, 11 * time.Second
		storeCutAt, storeBackAt                = 5500 * time.Millisecond, 11 * time.Second
		end                                    = 12 * time.Second
	)
	s.links = map[string]*link{}
	for i := range billingServers + yardServers {
		service, work := "billing", 500*time.Millisecond
		if i >= billingServers {
			service, work = "yard", 90*time.Millisecond
		}
		r, err := s.startReplica(service, replicaZones[i%len(replicaZones)], work)
		if err != nil {
			return nil, err
		}
		if s.links[r.addr], err = newLink(r.addr); err != nil {
			return nil, err
		}
	}
	s.configure([]route{
		{"yard", "/yard/", "non_idempotent", "yard", 6000, 400, 2},
		{"billing", "/billing/", "non_idempotent", "billing", 6000, 1000, 2},
	}, []string{"yard", "billing"})
	if err := s.startVMs(2); err != nil { // both watch the store
		return nil, err
	}
	lost := time.Now()
	at := func(d time.Duration, event string, f func()) {
		time.AfterFunc(time.Until(lost.Add(d)), func() { s.record.add("%s", event); f() })
	}
	cut := s.vms[0]
	leaving := s.replicas[slices.IndexFunc(s.replicas, func(r *replica) bool { return r.service == "billing" && r.zone == cut.zone })]
	if trouble {
		at(0, cut.name+" loses its links to all servers", func() {
			for _, l := range s.links {
				l.cut()
			}
		})
		at(storeCutAt, cut.name+" loses its way to the store", func() { s.storeCut.Store(true) })
		at(linksBackAt, cut.name+" has its links to the servers again", func() {
			for _, l := range s.links {
				if err := l.open(); err != nil {
					s.record.add("a link is not back: %v", err)
				}
			}
		})
		at(storeBackAt, cut.name+" reaches the store again", func() { s.storeCut.Store(false) })
	}
	at(leaveAt, "server "+leaving.id+" leaves and says so in its answers", func() {
		leaving.mu.Lock()
		leaving.leaving = true
		leaving.mu.Unlock()
	})
	at(reportAt, "server "+leaving.id+" reports to the store that it drains", func() { leaving.drain() })
	at(exitAt, "server "+leaving.id+" exits", leaving.exit)
	c := &consumers{site: s}
	var bills sync.WaitGroup
	bills.Go(func() {
		time.Sleep(time.Until(lost.Add(billsAt)))
		for n := 0; time.Since(lost) < end; n++ {
			bills.Go(func() {
				c.post(cut, fmt.Sprintf("/billing/%d", n), fmt.Sprint("b", n), strings.NewReader("bill"), 4)
			})
			time.Sleep(time.Second / billsPerSecond)
		}
	})
	c.load(perSecond, end, func(n int) string { return fmt.Sprintf("/yard/%d", n) })
	bills.Wait()
	return c.lateAfterLeaving(cut, leaving), nil
}

// lateAfterLeaving returns the requests that a VM has sent to a server though it had
// passed on an answer that says that the server leaves, drain_timeout_ms before the
// consumer sent the request.
func (c *consumers) lateAfterLeaving(v *vm, leaving *replica) []string {
	var passedOn time.Time
	for _, a := range c.attempts() {
		if a.vm == v && a.leaving && (passedOn.IsZero() || a.answered.Before(passedOn)) {
			passedOn = a.answered
		}
	}
	if passedOn.IsZero() {
		return nil
	}
	c.site.record.add("%s has first passed on an answer with Server-Leaving at %.3f s", v.name, passedOn.Sub(c.site.record.start).Seconds())
	reached := map[string]bool{}
	c.site.seen.mu.Lock()
	for _, a := range c.site.seen.arrivals {
		if a.server == leaving {
			reached[a.id] = true
		}
	}
	c.site.seen.mu.Unlock()
	var broken []string
	for _, a := range c.attempts() {
		if late := a.sent.Sub(passedOn); a.vm == v && reached[a.id] && late > drainTimeout {
			broken = append(broken, fmt.Sprintf("DRAIN: %s was sent to %s %.3f s after that had passed on an answer with Server-Leaving, and has reached the server; %s allowed; its consumer has status %d", a.id, v.name, late.Seconds(), drainTimeout, a.status))
		}
	}
	return broken
}
