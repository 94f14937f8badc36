package retry

import "time"

// Forecast returns what Delay would return, without moving the windows of the measurement.
func (h *Hedger) Forecast(now time.Time) (time.Duration, bool) {
	age := now.Sub(h.windowStart)
	switch {
	case age < h.opts.Window:
		return h.delay, h.delay > 0
	case age >= 2*h.opts.Window || h.current.TotalCount() < h.opts.MinSamples:
		return 0, false
	}
	d := h.quantile(h.current)
	return d, d > 0
}
