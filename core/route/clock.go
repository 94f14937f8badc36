package route

import (
	"math"
	"time"
)

// longAgo stands for an event that has not happened. It is before all times and
// far enough from the limits of the type that a difference doesn't overflow.
const longAgo = time.Duration(math.MinInt64 / 4)

// sinceEpoch returns now relative to the first time that p was given. Times are
// stored in this form because a decision compares many of them: with time.Time,
// Pick takes 510 to 880 ns instead of 310 to 370 ns at 200 targets.
func (p *Picker) sinceEpoch(now time.Time) time.Duration {
	if p.epoch.IsZero() {
		p.epoch = now
	}
	return now.Sub(p.epoch)
}
