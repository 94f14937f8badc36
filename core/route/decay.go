package route

import "time"

// decay returns the weight of an observation of the given age: 1/2 after each
// half-life, linear in between. That is at most 6.1 % above the exponential
// and several times cheaper than math.Exp2.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	n := age / halfLife
	if n > 40 {
		return 0
	}
	rest := float64(age-n*halfLife) / float64(halfLife)
	return (1 - rest/2) / float64(uint64(1)<<uint(n))
}
