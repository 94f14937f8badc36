package admit

import (
	"math"
	"time"
)

// unknownLatency stands for the service time before any call has ended. Only
// the order of values matters.
const unknownLatency = time.Millisecond

// value returns the worth per slot-second of a call.
func (g *Gate) value(now time.Time, kind int, worth float64) float64 {
	// A value that is not a number would break the order of the queue.
	if math.IsNaN(worth) {
		worth = 0
	}
	mean := g.limit.Mean(now, kind)
	if mean <= 0 {
		mean = max(g.limit.Latency(), unknownLatency)
	}
	return worth / mean.Seconds()
}

// wait estimates the time until a call that has to wait would start.
func (g *Gate) wait(e *entry) time.Duration {
	grants := g.queueOf(e).ahead(e) + 1
	if e.urgent {
		grants += min(g.normal.Len(), grants/g.dueAfter())
	} else {
		grants += min(g.urgent.Len(), grants*g.dueAfter())
	}
	return g.limit.Latency() * time.Duration(grants) / time.Duration(max(g.capacity(), 1))
}

// isLate reports whether a waiting call would miss its deadline if it started
// now.
func (g *Gate) isLate(now time.Time, e *entry) bool {
	remaining := e.deadline.Sub(now)
	return remaining <= 0 || remaining < g.limit.Median(now, e.kind)
}
