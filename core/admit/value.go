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
	return g.turnover() * time.Duration(grants) / time.Duration(max(g.capacity(), 1))
}

// isLate reports whether a waiting call would miss its deadline if it started
// now.
func (g *Gate) isLate(now time.Time, e *entry) bool {
	remaining := e.deadline.Sub(now)
	return remaining <= 0 || remaining < g.service(now, e)
}

// lateShare is the part of its worth that an answer keeps after its goal.
const lateShare = 0.1

// missesGoal reports whether the answer of a call that starts after wait would
// miss its goal.
func (g *Gate) missesGoal(now time.Time, e *entry, wait time.Duration) bool {
	return !e.goal.IsZero() && now.Add(wait+g.service(now, e)).After(e.goal)
}

// demote makes a call that will miss its goal worth that of a late one, so that
// it holds up no call that can still meet its own.
func (e *entry) demote() {
	e.late = true
	e.value *= lateShare
}

// isCrowded reports whether so many calls wait that can meet their goal that a
// late one would hardly ever run: others that arrive meanwhile go first.
func (g *Gate) isCrowded() bool {
	prompt := 0
	for _, e := range g.normal.items {
		if !e.late {
			prompt++
		}
	}
	return prompt > g.capacity()/4
}

// fallBehind moves a waiting call that will miss its goal behind those that can
// meet theirs, or refuses it if it would only be held.
func (g *Gate) fallBehind(e *entry) {
	if g.isCrowded() {
		g.drop(e, slow)
		return
	}
	q := g.queueOf(e)
	q.remove(e)
	e.demote()
	q.add(e)
}
