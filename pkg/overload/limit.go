package overload

import (
	"math"
	"time"
)

const (
	// PlacesPerSlot is the number of requests that all VMs together may have in
	// flight for each slot. A replica queues about six requests per slot, but one
	// that waits behind more than one or two others misses its target.
	PlacesPerSlot = 3.0
	// WaitingPerPlace is the number of requests that may wait for each place. The time
	// of the wait is bounded in any case, so that this only bounds a burst of callers:
	// places become free several times while a request may wait.
	WaitingPerPlace = 3
	// startDeviations times the square root of a VM's share is added to that share
	// as long as nothing was observed: requests arrive at random.
	startDeviations = 2.0
	// congestedShare of the target is the time until half of the shards have
	// answered from which on the replicas are taken to be overloaded: the slower
	// half and the way to the caller need the rest of the target.
	congestedShare = 0.4
	// roomShare of the target is that time up to which the replicas have room: a
	// place more at each VM does not make it miss the target.
	roomShare = 0.25
	// congestedFloors and roomFloors times the time that the work takes alone are
	// the bounds where they are greater: work that takes a large part of the target
	// does not show that replicas are overloaded. They count as many requests in the
	// slot as PlacesPerSlot allows, and half of that.
	congestedFloors, roomFloors = 2.5, 1.5
	// latestShare of the target bounds what congestedFloors yields. The rest is for
	// the wait for admission (MaxWaitShare) and the way to the caller.
	latestShare = 0.6
	// decrease is the factor of a decrease. There is at most one for each target,
	// because what was started before shows the earlier limit.
	decrease = 0.8
	// leastShare of the equal share is the least limit: work that takes as much of
	// the target as the slots' queues allow needs so few at a time. leastPlaces is
	// the least for any share: one request at a time, with pauses ten times as long.
	leastShare, leastPlaces = 0.25, 0.1
	// step is the part of a place that a limited VM adds with each early answer. It
	// doubles its places in two rounds of them, a burst of callers being shorter
	// than the many rounds that one place a round would take.
	step = 0.5
	// growth is the factor by which a limit below one place grows with each sample.
	growth = 1.25
	// growthKept is how long a limit above the start is kept while no more places
	// than those of the start are used: a few bursts of callers.
	growthKept = 5 * time.Second
)

// replicaQueue is the number of requests that a replica queues for each slot.
const replicaQueue = 6.0

// PlacesFor returns how many requests of a route to one replica all VMs together may
// have in flight for each slot, so that the last one is answered within the target.
// alone is how long its work takes without a queue, 0 if that is not known.
func PlacesFor(alone, target time.Duration) float64 {
	if alone <= 0 {
		return PlacesPerSlot
	}
	return min(max(1, latestShare*float64(target)/float64(alone)), replicaQueue)
}

// Limit is the number of places that one VM takes of a room that all VMs share. It
// answers callers that spread unevenly over VMs of unlike size, and replicas that can
// do less than their slots promise. VMs do not coordinate for it: each one sees at the
// replicas what all of them do together.
//
// A VM that is limited takes more places while the replicas answer early, up to the
// whole room, and fewer when they answer late. Below one place it pauses after each
// request. A Limit is not safe for concurrent use.
type Limit struct {
	least, start, most float64
	places             float64
	usedAt, loweredAt  time.Time
}

// SetRoom sets the places of all VMs together and the number of VMs.
func (l *Limit) SetRoom(room float64, vms int) {
	share := room / float64(max(1, vms))
	least, most := max(leastPlaces, leastShare*share), max(1, math.Ceil(room))
	if least == l.least && most == l.most {
		return
	}
	start := min(most, math.Ceil(share+startDeviations*math.Sqrt(share)))
	start = max(least, start)
	if l.places == 0 || l.places == l.start {
		l.places = start
	}
	l.least, l.start, l.most = least, start, most
	l.places = min(max(l.places, least), most)
}

// Places returns the places that the VM may take now.
func (l *Limit) Places(now time.Time) float64 {
	if l.places > l.start && now.Sub(l.usedAt) > growthKept {
		l.places = l.start
	}
	return max(1, math.Floor(l.places))
}

// Pause returns how long the place of a request that took that time is kept empty
// afterwards, so that a limit below one place holds on average.
func (l *Limit) Pause(took time.Duration) time.Duration {
	if l.places >= 1 {
		return 0
	}
	return time.Duration(float64(took) * (1/l.places - 1))
}

// Sample is what a request showed of the load of the replicas.
type Sample struct {
	// Took is how long half of the shards, or the replica, took to answer. It is
	// the target if they did not, or refused the request because they were full.
	Took time.Duration
	// Target is the time within which an answer has its full value.
	Target time.Duration
	// Alone is the time that the work of a request to one replica takes without a
	// queue, 0 if that is not known. It is not used for fan-outs, whose work at one
	// shard is a small part of the target: a VM that has known the replicas only
	// when they were overloaded takes it for longer than it is, and floods them.
	Alone time.Duration
	// InUse is the number of places that the VM uses, and Limited is set if these
	// are all.
	InUse   float64
	Limited bool
}

// Observe adds a sample.
func (l *Limit) Observe(now time.Time, s Sample) {
	if s.InUse > l.start {
		l.usedAt = now
	}
	target, alone := float64(s.Target), float64(s.Alone)
	congested := max(congestedShare*target, min(congestedFloors*alone, latestShare*target))
	room := max(roomShare*target, min(roomFloors*alone, congestedShare*target))
	switch took := float64(s.Took); {
	case took > congested:
		if now.Sub(l.loweredAt) >= s.Target {
			l.loweredAt = now
			l.places = max(l.least, l.places*decrease)
		}
	case took < room && (s.Limited || l.places < l.start):
		if l.places < 1 {
			l.places = min(1, l.places*growth)
		} else {
			l.places = min(l.most, l.places+step)
		}
		l.usedAt = now
	}
}
