package poison

import (
	"iter"
	"maps"
	"slices"
	"time"

	"trefoilthread/core/types"
)

// flight has the runs at the local target, and the ones that broke off or were
// canceled within the grace time.
type flight struct {
	grace     time.Duration
	capacity  int
	running   map[types.Fingerprint]int
	ended     map[types.Fingerprint]time.Time
	lastBreak time.Time
	trial     types.Fingerprint
	onTrial   bool
}

func newFlight(grace time.Duration, capacity int) flight {
	return flight{
		grace: grace, capacity: capacity,
		running: map[types.Fingerprint]int{}, ended: map[types.Fingerprint]time.Time{},
	}
}

func (f *flight) begin(fp types.Fingerprint) { f.running[fp]++ }

// end removes a run, which stays in flight for the grace time if it is unsure,
// and reports whether it was the trial. A run that is not known ended with its
// target.
func (f *flight) end(now time.Time, fp types.Fingerprint, unsure bool) bool {
	n := f.running[fp]
	if n == 0 {
		return false
	}
	if n == 1 {
		delete(f.running, fp)
	} else {
		f.running[fp] = n - 1
	}
	if unsure {
		if len(f.ended) >= f.capacity {
			maps.DeleteFunc(f.ended, func(_ types.Fingerprint, at time.Time) bool { return !f.recent(now, at) })
		}
		if len(f.ended) < f.capacity {
			f.ended[fp] = now
		}
	}
	trial := f.onTrial && f.trial == fp
	f.onTrial = f.onTrial && !trial
	return trial
}

// forget removes an ended run whose break was counted as a death.
func (f *flight) forget(fp types.Fingerprint) { delete(f.ended, fp) }

func (f *flight) recent(now, at time.Time) bool { return now.Sub(at) <= f.grace }

// broken reports whether a run has just broken off.
func (f *flight) broken(now time.Time) bool {
	return !f.lastBreak.IsZero() && f.recent(now, f.lastBreak)
}

// all yields what runs or has ended unsure within the grace time.
func (f *flight) all(now time.Time) iter.Seq[types.Fingerprint] {
	return func(yield func(types.Fingerprint) bool) {
		for fp := range f.running {
			if !yield(fp) {
				return
			}
		}
		for fp, at := range f.ended {
			if f.recent(now, at) && !yield(fp) {
				return
			}
		}
	}
}

// takeAll removes and returns what was in flight when the target died.
func (f *flight) takeAll(now time.Time) []types.Fingerprint {
	fps := slices.Compact(slices.Sorted(f.all(now)))
	*f = newFlight(f.grace, f.capacity)
	return fps
}
