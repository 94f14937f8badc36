package cold

import "math"

// maxBurst is the number of starts that a cold target may get together. With 1, a start that
// waits for the daemon's next check of its queue would use up part of the rate.
const maxBurst = 2

// Bound limits the calls that start at a cold target in any second: Overrun times its rate
// and Extra.
type Bound struct {
	Overrun float64
	Extra   float64
}

// calls returns the number of calls that may start in any second.
func (b Bound) calls(rate float64) float64 { return rate*b.Overrun + b.Extra }

// Limit returns the rate and the burst of a limiter that keeps within the bound. The rate is
// the given one, or less if the bound leaves no place for the burst.
func (b Bound) Limit(rate float64) (perSecond float64, burst int) {
	burst = int(min(max(1, b.calls(rate)-rate), maxBurst))
	return min(rate, b.calls(rate)-float64(burst)), burst
}

// Spare returns the number of calls that may start unseen at a target that has turned cold.
func (b Bound) Spare(rate float64) int {
	perSecond, burst := b.Limit(rate)
	return max(0, int(math.Floor(b.calls(rate)-perSecond-float64(burst))))
}

// Debt returns how many starts a limiter has to make up for if the target turned cold unseen
// and unseen calls have started since. It is at most what delays the next start by a second:
// calls that started earlier no longer count.
func (b Bound) Debt(rate float64, unseen int) int {
	perSecond, _ := b.Limit(rate)
	return max(0, min(unseen-b.Spare(rate), int(perSecond)-1))
}
