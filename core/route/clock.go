package route

import (
	"math"
	"time"
)

// never is a time before all others, far enough from the limits of the type
// that a difference doesn't overflow.
const never = time.Duration(math.MinInt64 / 4)

// since returns the time since the first one that p was given. Times are kept
// in this form because a decision compares many of them: with time.Time, Pick
// took 510 to 880 ns instead of 310 to 370 ns at 200 targets.
func (p *Picker) since(now time.Time) time.Duration {
	if p.epoch.IsZero() {
		p.epoch = now
	}
	return now.Sub(p.epoch)
}
