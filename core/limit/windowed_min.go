package limit

import "time"

// windowedMin tracks the minimum of a series over the last one to two windows.
type windowedMin struct {
	windowStart       time.Time
	current, previous float64
}

// add includes v, and starts a new window if the current one is over.
func (m *windowedMin) add(now time.Time, window time.Duration, v float64) {
	switch age := now.Sub(m.windowStart); {
	case m.windowStart.IsZero() || age >= 2*window:
		*m = windowedMin{windowStart: now, current: v, previous: v}
	case age >= window:
		*m = windowedMin{windowStart: now, current: v, previous: m.current}
	default:
		m.current = min(m.current, v)
	}
}

func (m *windowedMin) value() float64 { return min(m.current, m.previous) }
