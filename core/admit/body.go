package admit

import (
	"time"

	"trefoilthread/core/types"
)

// Value returns the value by which the gate orders a call: the worth of the answer per second
// of slot time.
func (g *Gate) Value(now time.Time, c types.Call) float64 {
	return g.worthRate(now, g.kindOf(c), c.Worth())
}

// Forecast decides whether a call whose body is complete after a time has a place then: Run
// if a slot is free now or will be then, Wait if one is free later but early enough, and
// Refuse, with the reason, if the answer would miss its deadline or its goal. It changes
// nothing.
func (g *Gate) Forecast(now time.Time, c types.Call, after time.Duration) (Verdict, string) {
	if g.draining {
		return Refuse, reasonDraining.String()
	}
	e := g.newEntry(now, c)
	defer g.release(e)
	e.worthRate = g.worthRate(now, e.kind, c.Worth())
	service := g.serviceTime(now, e)
	delay := after
	if g.running+g.expecting+g.waiting() >= g.maxRunning() || !g.allowsStart(now) {
		delay = max(after, g.estimatedWait(now, e))
		if g.limit.Latency() <= 0 { // no call has ended yet
			delay = max(after, service)
		}
	}
	switch remaining := c.Remaining(now); {
	case remaining <= 0 || remaining < delay+service:
		return Refuse, reasonDeadline.String()
	case g.missesGoal(now, e, delay):
		return Refuse, reasonGoal.String()
	case delay > after || g.expecting >= g.maxRunning() || g.isDelayed(now, e) && g.paceChangeIn > after:
		return Wait, ""
	}
	return Run, ""
}

// Expect counts a call whose body is on its way. It takes no slot, so that none is idle
// meanwhile, but counts in the estimated wait of others and in the reported load.
func (g *Gate) Expect() { g.expecting++ }

// Unexpect ends an Expect: the body is complete, and Arrive follows, or it won't come.
func (g *Gate) Unexpect() { g.expecting = max(0, g.expecting-1) }

// Arrive is Offer for a call whose body has come after a Forecast. A refusal would have
// wasted the transfer, so the call is not refused for its goal, waits before the calls that
// have no such body, and is displaced after them.
func (g *Gate) Arrive(now time.Time, c types.Call) (Ticket, Verdict) {
	if g.draining {
		return g.refusal(reasonDraining), Refuse
	}
	e := g.newEntry(now, c)
	e.arrived = true
	e.worthRate = g.worthRate(now, e.kind, c.Worth())
	if g.missesDeadline(now, e) {
		g.release(e)
		return g.refusal(reasonDeadline), Refuse
	}
	if !g.isDelayed(now, e) && g.hasSlot(now, e.urgent) && !g.queueOf(e).hasArrived() {
		g.start(now, e)
		return e.ticket(), Run
	}
	if !g.makeRoom(e) {
		g.release(e)
		return g.refusal(reasonQueueFull), Refuse
	}
	g.queueOf(e).add(e)
	return e.ticket(), Wait
}

// hasArrived reports whether a call waits whose body has come.
func (q *queue) hasArrived() bool { return len(q.items) > 0 && q.items[0].arrived }

// arrivedFirst returns the order in which calls whose bodies have come precede the others.
func arrivedFirst(before func(a, b *entry) bool) func(a, b *entry) bool {
	return func(a, b *entry) bool {
		if a.arrived != b.arrived {
			return a.arrived
		}
		return before(a, b)
	}
}
