package overload

import (
	"math"
	"time"
)

const (
	// smoothing is the weight of a new observation: about the last 16 requests
	// determine a mean.
	smoothing = 1.0 / 16
	// floorRise is the weight of an observation above the floor of a class. It is
	// small, because requests that queue at the replicas take longer than their work.
	floorRise = 1.0 / 128
	// minWork and maxWork bound the work of a request in places: an estimate that is
	// wrong by more than that does not starve its class, nor flood the replicas.
	minWork, maxWork = 1.0 / 3, 3.0
	// likeWork is the ratio to the usual work within which works count as alike: a
	// smaller difference is within the error of the estimates.
	likeWork = 1.25
	// deviations is the number of mean deviations that is added to the mean time of
	// a class: with the mean alone, a tenth of the answers come just too late (0009).
	deviations = 2
	// estimateMaxAge is the age after which durations refuse nothing: otherwise one
	// slow request could make all later ones be refused, and none would correct it.
	estimateMaxAge = time.Second
	// leastTime is how long the least time of a class is kept, once or twice. It is
	// longer than most overloads, in which no request finds the replicas idle.
	leastTime = 30 * time.Second
	// rateTime is the time over which offered work is averaged. It is the order of
	// a burst of callers.
	rateTime = 500 * time.Millisecond
)

// Observation is what was seen of a request that ran. Zero values are unknown.
type Observation struct {
	// Duration is how long the request held its place.
	Duration time.Duration
	// Work is how long a typical shard, or the replica, took to answer.
	Work time.Duration
}

// class is what was learned of the requests of like work.
type class struct {
	// floor is a low mean of the time that the work takes. It compares classes.
	floor float64
	// least and leastBefore are the least times of the current window and the one
	// before, which began at windowStart and leastTime earlier.
	least, leastBefore time.Duration
	windowStart        time.Time
	// mean and deviation describe the durations.
	mean, deviation float64
	observedAt      time.Time
}

// estimates learns the work of classes, with its spread.
type estimates struct {
	classes map[string]*class
	// usualFloor is the mean floor of all requests that ended.
	usualFloor float64
	// usualDuration is the mean duration of a place of work.
	usualDuration float64
	observedAt    time.Time
}

// work returns the work of a request in units of the usual work of all. It is 1 for an
// unknown class, and where all classes are alike.
func (e *estimates) work(name string) float64 {
	c := e.classes[name]
	if c == nil || c.floor == 0 || e.usualFloor == 0 {
		return 1
	}
	ratio := c.floor / e.usualFloor
	if ratio < likeWork && ratio > 1/likeWork {
		return 1
	}
	return min(max(ratio, minWork), maxWork)
}

// alone returns how long the work of a class takes without a queue, 0 if that is not
// known.
func (e *estimates) alone(name string) time.Duration {
	c := e.classes[name]
	switch {
	case c == nil:
		return 0
	case c.leastBefore > 0 && c.leastBefore < c.least:
		return c.leastBefore
	}
	return c.least
}

// observeLeast adds to the least times of the class.
func (c *class) observeLeast(now time.Time, work time.Duration) {
	if now.Sub(c.windowStart) > leastTime {
		c.leastBefore, c.least, c.windowStart = c.least, 0, now
	}
	if c.least == 0 || work < c.least {
		c.least = work
	}
}

// observe adds what was seen of a request.
func (e *estimates) observe(now time.Time, name string, o Observation) {
	c := e.classes[name]
	if c == nil {
		c = &class{}
		e.classes[name] = c
	}
	if o.Duration > 0 {
		d := o.Duration.Seconds()
		if c.mean == 0 {
			c.mean = d
		} else {
			c.deviation += (math.Abs(d-c.mean) - c.deviation) * smoothing
			c.mean += (d - c.mean) * smoothing
		}
		c.observedAt, e.observedAt = now, now
		e.usualDuration = movedTowards(e.usualDuration, d/e.work(name), smoothing)
	}
	if o.Work > 0 {
		c.observeLeast(now, o.Work)
		d := o.Work.Seconds()
		weight := floorRise
		if d < c.floor {
			weight = smoothing
		}
		c.floor = movedTowards(c.floor, d, weight)
		e.usualFloor = movedTowards(e.usualFloor, c.floor, smoothing)
	}
}

// movedTowards returns the mean after an observation, the observation if it is the
// first one.
func movedTowards(mean, observed, weight float64) float64 {
	if mean == 0 {
		return observed
	}
	return mean + (observed-mean)*weight
}

// timeNeeded returns the time in which a request of the class very likely ends, 0 if
// that is not known.
func (e *estimates) timeNeeded(now time.Time, name string) time.Duration {
	c := e.classes[name]
	if c == nil || now.Sub(c.observedAt) > estimateMaxAge {
		return 0
	}
	return seconds(c.mean + deviations*c.deviation)
}

// meanDuration returns how long a place is held by the usual work, 0 if that is not
// known.
func (e *estimates) meanDuration(now time.Time) time.Duration {
	if now.Sub(e.observedAt) > estimateMaxAge {
		return 0
	}
	return seconds(e.usualDuration)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// rate is an exponentially decaying rate of arriving work.
type rate struct {
	perSecond float64
	at0       time.Time
}

// add adds work that arrives now.
func (r *rate) add(now time.Time, work float64) {
	r.perSecond = r.at(now) + work/rateTime.Seconds()
	r.at0 = now
}

// at returns the work that arrives in a second.
func (r *rate) at(now time.Time) float64 {
	if r.perSecond == 0 {
		return 0
	}
	return r.perSecond * math.Exp(-float64(now.Sub(r.at0))/float64(rateTime))
}
