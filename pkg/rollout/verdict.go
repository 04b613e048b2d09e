package rollout

import (
	"fmt"
	"math"
)

const (
	// verdictLevel is the probability that a good version looks as bad in one look at
	// one route. A roll-out has up to some hundred looks, which are not independent.
	verdictLevel = 1e-4
	// minBad is the number of bad answers that a verdict needs.
	minBad = 6
	// minRecent is the number of recent answers that a verdict needs. A replica that stalls
	// for some tenths of a second makes several answers slow at once.
	minRecent = 45
	// tolerance and toleranceFactor set the rate of bad answers that a good version
	// may have, by that of the old one: it runs on other machines, with empty caches.
	tolerance       = 0.03
	toleranceFactor = 1.3
	// priorAnswers with priorRate stand for the old version while little is known of it.
	priorAnswers = 20
	priorRate    = 0.04
)

// count is the number of bad answers of so many.
type count struct{ bad, answers int }

func (c count) plus(o count) count { return count{c.bad + o.bad, c.answers + o.answers} }

// rate returns the rate of bad answers, nearer to priorRate the fewer answers there are.
func (c count) rate() float64 {
	return (float64(c.bad) + priorRate*priorAnswers) / (float64(c.answers) + priorAnswers)
}

// Bad reports whether the new version is bad by the evidence, and why. It is a one-sided
// binomial test of the bad answers of the new version against the rate of the old one,
// for each route and for all together, over the whole roll-out and over the recent
// window. An answer is bad if it failed, or took more than twice the old median.
func (e Evidence) Bad() (bool, string) {
	var oldAll, newAll, oldRecentAll, newRecentAll count
	for _, route := range routesOf(e.Total) {
		total, recent := e.Total[route], e.Recent[route]
		slowFrom := total.Old.slowFrom()
		oldCount, newCount := total.Old.count(slowFrom), total.New.count(slowFrom)
		oldRecent, newRecent := recent.Old.count(slowFrom), recent.New.count(slowFrom)
		allowed := allowedRate(oldCount, oldRecent)
		name := fmt.Sprintf("route %q", route)
		if bad, why := compare(name, oldCount, newCount, allowed); bad {
			return true, why
		}
		if bad, why := compareRecent(name+" lately", oldCount, newRecent, allowed); bad {
			return true, why
		}
		oldAll, newAll = oldAll.plus(oldCount), newAll.plus(newCount)
		oldRecentAll, newRecentAll = oldRecentAll.plus(oldRecent), newRecentAll.plus(newRecent)
	}
	allowed := allowedRate(oldAll, oldRecentAll)
	if bad, why := compare("all routes", oldAll, newAll, allowed); bad {
		return true, why
	}
	return compareRecent("all routes lately", oldAll, newRecentAll, allowed)
}

func (t Tally) count(slowFrom int) count { return count{t.bad(slowFrom), t.Answers} }

// allowedRate returns the rate of bad answers that a good version may have. A load that
// makes the old version bad at the same time excuses the new one.
func allowedRate(old, recent count) float64 {
	return min(0.9, toleranceFactor*max(old.rate(), recent.rate()-priorRate)+tolerance)
}

func compare(what string, old, fresh count, allowed float64) (bool, string) {
	if fresh.bad < minBad || binomialTail(fresh.bad, fresh.answers, allowed) >= verdictLevel {
		return false, ""
	}
	return true, fmt.Sprintf("%s: %d of %d answers bad, %d of %d of the old version", what, fresh.bad, fresh.answers, old.bad, old.answers)
}

func compareRecent(what string, old, fresh count, allowed float64) (bool, string) {
	if fresh.answers < minRecent {
		return false, ""
	}
	return compare(what, old, fresh, allowed)
}

// binomialTail returns the probability of at least k of n at rate p, for k above n*p;
// else 1.
func binomialTail(k, n int, p float64) float64 {
	if float64(k) <= float64(n)*p {
		return 1
	}
	logChoose := func(n, k int) float64 {
		a, _ := math.Lgamma(float64(n + 1))
		b, _ := math.Lgamma(float64(k + 1))
		c, _ := math.Lgamma(float64(n - k + 1))
		return a - b - c
	}
	sum := 0.0
	for i := k; i <= n; i++ {
		term := math.Exp(logChoose(n, i) + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p))
		sum += term
		if term < sum*1e-9 {
			break
		}
	}
	return sum
}
