package route

import "time"

// Targets of the subset are grouped by distance, because a random sample of
// all would mostly miss the few near ones.
const (
	nearest  = iota // at the smallest distance of all targets that are up
	regional        // up to closeFactor times the next distance
	distant         // all others
	groupCount
)

// regionFactor separates data centres of the same region, whose distances are
// similar, from those of other regions, which are many times as far.
const regionFactor = 4

// grouping assigns targets to groups by their distance.
type grouping struct {
	nearest, next time.Duration // the two smallest distances
}

func (g *grouping) add(d time.Duration) {
	switch {
	case d < g.nearest:
		g.nearest, g.next = d, g.nearest
	case d > g.nearest && d < g.next:
		g.next = d
	}
}

func (g *grouping) groupOf(d time.Duration) int {
	switch {
	case d == g.nearest:
		return nearest
	case d/regionFactor <= g.next:
		return regional
	}
	return distant
}
