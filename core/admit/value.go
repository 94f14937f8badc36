package admit

import (
	"math"
	"time"
)

// assumedLatency is used as the mean service time before any call has ended. Its
// size does not matter, because worth rates are only compared with each other.
const assumedLatency = time.Millisecond

// worthRate returns the worth of a call per second of slot time.
func (g *Gate) worthRate(now time.Time, kind int, worth float64) float64 {
	// NaN would break the order of the queue.
	if math.IsNaN(worth) {
		worth = 0
	}
	mean := g.limit.Mean(now, kind)
	if mean <= 0 {
		mean = max(g.limit.Latency(), assumedLatency)
	}
	return worth / mean.Seconds()
}

// startsBefore returns the estimated number of calls that start before e if it joined
// its queue now.
func (g *Gate) startsBefore(e *entry) int {
	n := g.countAhead(e) + g.expecting
	if e.urgent {
		return n + min(g.normal.Len(), (n+1)/g.urgentStreakLimit())
	}
	return n + min(g.urgent.Len(), (n+1)*g.urgentStreakLimit())
}

// estimatedWait returns the estimated time until e would start if it joined its
// queue now.
func (g *Gate) estimatedWait(now time.Time, e *entry) time.Duration {
	grants := g.startsBefore(e) + 1
	bySlots := g.meanServiceTime() * time.Duration(grants) / time.Duration(max(g.maxRunning(), 1))
	return max(bySlots, g.rateDelay(now, grants))
}

// missesDeadline reports whether a waiting call would miss its deadline if it
// started now.
func (g *Gate) missesDeadline(now time.Time, e *entry) bool {
	remaining := e.deadline.Sub(now)
	return remaining <= 0 || remaining < g.serviceTime(now, e)
}

// lateWorthShare is the share of its worth that an answer keeps after its goal.
const lateWorthShare = 0.1

// missesGoal reports whether the answer to a call that starts after wait would
// miss its goal. A call without a goal, or whose body has come, never misses it.
func (g *Gate) missesGoal(now time.Time, e *entry, wait time.Duration) bool {
	return !e.arrived && !e.goal.IsZero() && now.Add(wait+g.serviceTime(now, e)).After(e.goal)
}

// demote reduces the worth rate of a call that would miss its goal to that of a
// late answer, so that it does not delay calls that can still meet their goal.
func (e *entry) demote() {
	e.demoted = true
	e.worthRate *= lateWorthShare
}

// hasPromptBacklog reports whether so many waiting normal calls of its rank and
// higher ones can meet their goal that e would hardly ever run if it were demoted,
// because calls that arrive later run before it. Calls of less urgent routes that would
// run after e even then don't count.
func (g *Gate) hasPromptBacklog(e *entry) bool {
	prompt := 0
	for _, o := range g.normal.items {
		if !o.demoted && o.customerRank <= e.customerRank && !e.precedesWhenLate(o) {
			prompt++
		}
	}
	return prompt > g.maxRunning()/4
}

// demoteOrDrop handles a waiting call that would miss its goal: it moves the call
// behind those that can meet theirs, or refuses it if there are so many of them
// that it would only wait.
func (g *Gate) demoteOrDrop(e *entry) {
	if g.hasPromptBacklog(e) {
		g.drop(e, reasonGoal)
		return
	}
	q := g.queueOf(e)
	q.remove(e)
	e.demote()
	q.add(e)
}
