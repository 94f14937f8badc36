package route

import "math"

// Weighted is the default policy. It samples each distance group at random and
// selects the lowest score. A suspended target is selected only for a trial call,
// or if no other target is usable.
func Weighted(v View) int {
	if v.Len() == 0 {
		return -1
	}
	best, score := -1, math.Inf(1)
	for g := range v.Groups() {
		lo, hi := v.Group(g)
		i, s, isTrial := sample(v, lo, hi)
		if isTrial {
			return i
		}
		if s < score {
			best, score = i, s
		}
	}
	if best < 0 {
		return scan(v)
	}
	return best
}

// sample returns the lowest score among random targets from lo to hi-1, or -1
// if the draws met no usable target. It ends at once with a suspended target
// that is due for a trial call.
func sample(v View, lo, hi int) (best int, score float64, isTrial bool) {
	const drawsPerChoice = 4
	best, score = -1, math.Inf(1)
	n := hi - lo
	if n == 0 {
		return best, score, false
	}
	// With few targets a sample of all of them would make all daemons that
	// hold the same report pick the same target.
	choices := min(v.Choices(), n, max(2, (n+1)/2))
	var drawn [maxChoices]int
	for count, draw := 0, 0; count < choices && draw < choices*drawsPerChoice; draw++ {
		i := lo + v.Random(n)
		if contains(drawn[:count], i) || !v.Usable(i) {
			continue
		}
		if v.isSuspended(i) {
			if v.takeTrial(i) {
				return i, 0, true
			}
			continue
		}
		drawn[count] = i
		count++
		if s := v.Score(i); s < score {
			best, score = i, s
		}
	}
	return best, score, false
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
