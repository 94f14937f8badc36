package route

import (
	"maps"
	"slices"
)

// Policy selects a target of the view and returns its number, or -1 if none is
// usable.
type Policy func(v View) int

// policiesByName holds the policies that commands and settings can name.
var policiesByName = map[string]Policy{
	"weighted":         Weighted,
	"random":           Random,
	"roundRobin":       RoundRobin,
	"leastOutstanding": LeastOutstanding,
}

// ParsePolicy returns the policy with the given name.
func ParsePolicy(name string) (Policy, bool) {
	p, ok := policiesByName[name]
	return p, ok
}

// PolicyNames returns the names that ParsePolicy accepts, sorted.
func PolicyNames() []string { return slices.Sorted(maps.Keys(policiesByName)) }

// Random selects each usable target with the same probability. It is a
// baseline for comparisons.
func Random(v View) int {
	const draws = 8
	if v.Len() == 0 {
		return -1
	}
	for range draws {
		if i := v.Random(v.Len()); v.Usable(i) {
			return i
		}
	}
	// Few targets are usable. A uniform choice among them needs their number.
	usable := 0
	for i := range v.Len() {
		if v.Usable(i) {
			usable++
		}
	}
	if usable == 0 {
		return -1
	}
	skip := v.Random(usable)
	for i := range v.Len() {
		if v.Usable(i) {
			if skip == 0 {
				return i
			}
			skip--
		}
	}
	return -1
}

// RoundRobin selects the usable targets in turn. It is a baseline for
// comparisons.
func RoundRobin(v View) int {
	for range v.Len() {
		if i := int(v.NextSequence() % uint64(v.Len())); v.Usable(i) {
			return i
		}
	}
	return -1
}

// LeastOutstanding selects a usable target with the fewest calls in flight from
// this daemon. It is a baseline for comparisons: it ignores reports, latencies and
// failures.
func LeastOutstanding(v View) int {
	best, n := -1, v.Len()
	if n == 0 {
		return -1
	}
	// A random start breaks ties, of which there are many at a low rate.
	for i, k := v.Random(n), 0; k < n; i, k = i+1, k+1 {
		if i == n {
			i = 0
		}
		if (best < 0 || v.Outstanding(i) < v.Outstanding(best)) && v.Usable(i) {
			best = i
		}
	}
	return best
}
