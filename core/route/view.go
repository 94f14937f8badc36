package route

import (
	"math"
	"time"

	"trefoilthread/core/types"
)

// View gives a Policy access to the subset of a Picker. Targets are numbered from
// 0 to Len()-1 in the order of their distance groups. A View is valid only during
// the call of the policy.
type View struct {
	p   *Picker
	now time.Duration // since the epoch of p
}

// Len returns the size of the subset.
func (v View) Len() int { return len(v.p.subset) }

// Groups returns the number of groups by distance, the nearest first. Groups
// may be empty.
func (v View) Groups() int { return groupCount }

// Group returns the first number of a group and the one after its last.
func (v View) Group(g int) (lo, hi int) {
	if g > 0 {
		lo = v.p.groupEnd[g-1]
	}
	return lo, v.p.groupEnd[g]
}

// Usable reports whether target i takes calls and hasn't been tried for the
// present one.
func (v View) Usable(i int) bool {
	return v.p.isUntried(v.now, v.p.subset[i])
}

// Target returns target i.
func (v View) Target(i int) types.Target { return v.p.subset[i].target }

// Outstanding returns the number of calls in flight from this daemon to target i.
func (v View) Outstanding(i int) int { return v.p.subset[i].inFlight }

// Score returns the estimated wait at target i in nanoseconds, with penalties.
func (v View) Score(i int) float64 { return v.p.score(v.now, v.p.subset[i], math.Inf(1)) }

// Choices returns the number of targets to compare.
func (v View) Choices() int { return v.p.opts.Choices }

// Random returns a number from 0 to n-1 from the Picker's random source.
func (v View) Random(n int) int { return v.p.random.IntN(n) }

// NextSequence returns a number that grows by one with each call.
func (v View) NextSequence() uint64 {
	v.p.cursor++
	return v.p.cursor
}

// scoreWithin is Score with an expected latency of at most bound if the target has no
// recent calls.
func (v View) scoreWithin(i int, bound float64) float64 {
	if v.hasRecentCalls(i) {
		bound = math.Inf(1)
	}
	return v.p.score(v.now, v.p.subset[i], bound)
}

func (v View) expectedLatency(i int) float64 {
	m := v.p.subset[i]
	return m.expectedLatency(v.now, m.idleWeight(v.now), v.p.serviceLatency())
}

func (v View) hasRecentCalls(i int) bool { return v.p.subset[i].hasRecentCalls(v.now) }

// mayExplore reports whether targets without recent calls are to be compared as if they
// were as fast as those with recent calls. A second attempt has no time left for that.
func (v View) mayExplore() bool {
	return len(v.p.tried) == 0 && v.now-v.p.exploredAt >= exploreInterval
}

func (v View) explored() { v.p.exploredAt = v.now }

func (v View) isSuspended(i int) bool { return v.p.isSuspended(v.now, v.p.subset[i]) }
func (v View) takeTrial(i int) bool   { return v.p.takeTrial(v.now, v.p.subset[i]) }
