package capacity

import (
	"runtime"
	"slices"
	"syscall"
	"time"
)

// cpuTime returns the processor time of this process. It is used in place of
// the wall clock because other work on the machine does not enter it; the
// garbage collector's work does.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cost is the price of one operation.
type cost struct {
	ns, allocs, bytes float64
}

// measure returns the median cost of op over the repetitions.
func measure(e Effort, op func() error) (cost, error) {
	var list []cost
	if err := op(); err != nil {
		return cost{}, err
	}
	for range e.Repeats {
		c, err := repetition(e.Repeat, op)
		if err != nil {
			return cost{}, err
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b cost) int {
		if a.ns < b.ns {
			return -1
		}
		return 1
	})
	return list[len(list)/2], nil
}

// repetition runs op in growing batches until it has used the processor time.
func repetition(atLeast time.Duration, op func() error) (cost, error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	began := cpuTime()
	n := 0
	for batch := 1; cpuTime()-began < atLeast; batch = min(2*batch, 1<<16) {
		for range batch {
			if err := op(); err != nil {
				return cost{}, err
			}
		}
		n += batch
	}
	used := cpuTime() - began
	runtime.ReadMemStats(&after)
	per := float64(n)
	return cost{
		ns:     float64(used) / per,
		allocs: float64(after.Mallocs-before.Mallocs) / per,
		bytes:  float64(after.TotalAlloc-before.TotalAlloc) / per,
	}, nil
}

// micros measures op in microseconds of processor time.
func micros(e Effort, op func() error) ([]float64, error) {
	c, err := measure(e, op)
	return []float64{c.ns / 1e3}, err
}

// inUse returns the heap and the stacks in use after a collection.
func inUse() float64 {
	// The second collection frees what finalizers and pools of the first held.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
