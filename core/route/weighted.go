package route

import "math"

// candidates are the targets that a decision compares.
type candidates struct {
	targets [groupCount * maxChoices]int
	n       int
	hasIdle bool // one of them has no recent calls
}

// Weighted is the default policy. It samples each distance group at random and
// selects the lowest score. A suspended target is selected only for a trial call,
// or if no other target is usable.
func Weighted(v View) int {
	if v.Len() == 0 {
		return -1
	}
	var c candidates
	for g := range v.Groups() {
		lo, hi := v.Group(g)
		if i := c.sample(v, lo, hi); i >= 0 {
			return i
		}
	}
	best := c.lowest(v, math.Inf(1))
	if best < 0 {
		return scan(v)
	}
	if c.hasIdle && v.mayExplore() {
		if i := c.lowest(v, c.latencyBound(v)); i != best {
			v.explored()
			return i
		}
	}
	return best
}

// lowest returns the candidate with the lowest score. The expected latency of those
// without recent calls counts up to bound.
func (c *candidates) lowest(v View, bound float64) int {
	best, score := -1, math.Inf(1)
	for _, i := range c.targets[:c.n] {
		if s := v.scoreWithin(i, bound); s < score {
			best, score = i, s
		}
	}
	return best
}

// sample adds random targets from lo to hi-1, none if the draws met no usable target.
// It ends at once with a suspended target that is due for a trial call, which it returns;
// otherwise it returns -1.
func (c *candidates) sample(v View, lo, hi int) int {
	const drawsPerChoice = 4
	n := hi - lo
	if n == 0 {
		return -1
	}
	// With few targets a sample of all of them would make all daemons that
	// hold the same report pick the same target.
	choices := min(v.Choices(), n, max(2, (n+1)/2))
	first := c.n
	for draw := 0; c.n-first < choices && draw < choices*drawsPerChoice; draw++ {
		i := lo + v.Random(n)
		if contains(c.targets[first:c.n], i) || !v.Usable(i) {
			continue
		}
		if v.isSuspended(i) {
			if v.takeTrial(i) {
				return i
			}
			continue
		}
		c.targets[c.n] = i
		c.n++
		c.hasIdle = c.hasIdle || !v.hasRecentCalls(i)
	}
	return -1
}

// latencyBound returns the lowest expected latency of the candidates with recent calls,
// infinite without any.
func (c *candidates) latencyBound(v View) float64 {
	bound := math.Inf(1)
	for _, i := range c.targets[:c.n] {
		if v.hasRecentCalls(i) {
			bound = min(bound, v.expectedLatency(i))
		}
	}
	return bound
}

// contains is slices.Contains, which isn't inlined here and costs as much as
// the rest of the draw.
func contains(drawn []int, i int) bool {
	for _, d := range drawn {
		if d == i {
			return true
		}
	}
	return false
}

// scan returns the lowest score of all usable targets, those that aren't
// suspended first.
func scan(v View) int {
	best, bestSuspended, score := -1, true, math.Inf(1)
	for i := range v.Len() {
		if !v.Usable(i) {
			continue
		}
		suspended, s := v.isSuspended(i), v.Score(i)
		if best < 0 || bestSuspended && !suspended || bestSuspended == suspended && s < score {
			best, bestSuspended, score = i, suspended, s
		}
	}
	return best
}
