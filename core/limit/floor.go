package limit

import "time"

// floor is the minimum of a series over the last one to two windows.
type floor struct {
	start         time.Time
	current, last float64
}

func (f *floor) add(now time.Time, window time.Duration, v float64) {
	switch age := now.Sub(f.start); {
	case f.start.IsZero() || age >= 2*window:
		*f = floor{start: now, current: v, last: v}
	case age >= window:
		*f = floor{start: now, current: v, last: f.current}
	default:
		f.current = min(f.current, v)
	}
}

func (f *floor) value() float64 { return min(f.current, f.last) }
