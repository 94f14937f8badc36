package admit

import (
	"time"

	"trefoilthread/core/limit"
	"trefoilthread/core/types"
)

// Gate admits calls to one target.
type Gate struct {
	opts     Options
	limit    *limit.Limit
	entries  []*entry
	free     []*entry
	urgent   queue
	normal   queue
	running  int
	normals  int
	streak   int
	draining bool
	lastID   uint64
	pending  []Event
	kinds    map[string]int // numbers of named kinds
	pace     float64        // how long work takes now, 1 as usual
	relief   time.Duration  // until the pace is another one, 0 if it may stay
	then     float64        // pace after relief
	busyPace float64        // sum of the paces at which running calls started
}

// New returns a gate that takes calls.
func New(o Options) *Gate {
	g := &Gate{
		opts:   o.withDefaults(),
		urgent: queue{before: byDeadline},
		normal: queue{before: byValue},
		pace:   1, then: 1,
	}
	g.limit = limit.New(g.limitOptions())
	return g
}

// SetOptions changes the options. Running calls keep their slots. Waiting calls
// that have no place any more are refused (see Pending); Tick grants slots that
// were added.
func (g *Gate) SetOptions(o Options) {
	g.opts = o.withDefaults()
	g.limit.SetOptions(g.limitOptions())
	g.shrink()
}

func (g *Gate) limitOptions() limit.Options {
	return limit.Options{Max: g.opts.Slots, MinShare: g.opts.MinShare, Tolerance: g.opts.Tolerance}
}

// SetPace sets how long work that starts now takes on the target's VM, 1 as
// usual, and the time after which it is expected to be then; 0 if it may stay.
func (g *Gate) SetPace(pace float64, relief time.Duration, then float64) {
	if pace > 0 {
		g.pace, g.relief, g.then = pace, relief, then
	}
}

// service returns the time until a call of a kind is expected to end that gets
// a slot now. It keeps the pace that the host has at its start, so it may be
// held until the host is faster.
func (g *Gate) service(now time.Time, e *entry) time.Duration {
	usual := g.usual(now, e)
	if g.isHeld(now, e) {
		return g.relief + time.Duration(float64(usual)*g.then)
	}
	return time.Duration(float64(usual) * g.pace)
}

// goalPerWork is the usual ratio of a goal to the time that the work takes. It
// stands in until a call of the kind has ended.
const goalPerWork = 3

// usual returns the time of a call at the usual pace.
func (g *Gate) usual(now time.Time, e *entry) time.Duration {
	if d := g.limit.Median(now, e.kind); d > 0 {
		return d
	}
	return e.guess
}

// isHeld reports whether a call of a kind ends sooner if it starts after the
// relief. It also takes less of a slot's time.
func (g *Gate) isHeld(now time.Time, e *entry) bool {
	return g.relief > 0 && time.Duration(float64(g.usual(now, e))*(g.pace-g.then)) > g.relief
}

// turnover returns the average time of a running call, at the pace at which it
// started.
func (g *Gate) turnover() time.Duration {
	d := g.limit.Latency()
	if g.running == 0 {
		return d
	}
	return time.Duration(float64(d) * g.busyPace / float64(g.running))
}

// Offer decides about a call that has arrived. A refused call has not run;
// its ticket has the reason.
func (g *Gate) Offer(now time.Time, c types.Call) (Ticket, Verdict) {
	if g.draining {
		return g.refusal(draining), Refuse
	}
	remaining := c.Remaining(now)
	e := g.accept(now, c)
	service := g.service(now, e)
	if remaining <= 0 || remaining < service {
		g.release(e)
		return g.refusal(late), Refuse
	}
	e.value = g.value(now, e.kind, c.Worth())
	held := g.isHeld(now, e)
	if c.PromptOnly() && (held || g.missesGoal(now, e, 0)) {
		g.release(e)
		return g.refusal(slow), Refuse
	}
	if !held && g.hasSlot(e.urgent) && g.queueOf(e).Len() == 0 && (e.urgent || g.urgent.Len() == 0) {
		g.start(e)
		return e.ticket(), Run
	}
	if g.missesGoal(now, e, g.wait(e)) {
		if c.PromptOnly() {
			g.release(e)
			return g.refusal(slow), Refuse
		}
		if g.isCrowded() {
			g.release(e)
			return g.refusal(slow), Refuse
		}
		e.demote()
	}
	if remaining < g.wait(e)+service {
		g.release(e)
		return g.refusal(late), Refuse
	}
	if !g.makeRoom(e) {
		g.release(e)
		return g.refusal(full), Refuse
	}
	g.queueOf(e).add(e)
	return e.ticket(), Wait
}

// Done frees the slot of a running call that ended after service in the
// target. A ticket that holds no slot changes nothing.
func (g *Gate) Done(now time.Time, t Ticket, service time.Duration, failed bool) []Event {
	e := g.find(t)
	if e == nil || !e.running {
		return g.Pending()
	}
	// The averages are those at the usual pace. The time of a canceled call is
	// only a lower bound, like that of a failed one.
	usual := time.Duration(float64(service) / e.pace)
	g.limit.Observe(now, e.kind, usual, g.running, failed || e.canceled)
	g.running--
	g.busyPace -= e.pace
	if !e.urgent {
		g.normals--
	}
	g.release(e)
	return g.grant(now)
}

// Cancel withdraws a call. A waiting call is removed without an event of its
// own; a running one keeps its slot until Done.
func (g *Gate) Cancel(now time.Time, t Ticket) []Event {
	switch e := g.find(t); {
	case e == nil:
	case e.running:
		e.canceled = true
	default:
		g.queueOf(e).remove(e)
		g.release(e)
	}
	return g.grant(now)
}

// Tick refuses waiting calls that would miss their deadline even if they ran
// now, and grants free slots.
func (g *Gate) Tick(now time.Time) []Event {
	for _, e := range g.entries {
		switch {
		case e.id == 0 || e.running:
		case g.isLate(now, e):
			g.drop(e, late)
		case !e.late && g.missesGoal(now, e, 0):
			g.fallBehind(e)
		}
	}
	return g.grant(now)
}

// Drain refuses all waiting calls and every later offer until Resume.
func (g *Gate) Drain(_ time.Time) []Event {
	g.draining = true
	for _, e := range g.entries {
		if e.id != 0 && !e.running {
			g.drop(e, draining)
		}
	}
	return g.Pending()
}

// Resume ends a drain.
func (g *Gate) Resume() { g.draining = false }

// Pending returns the events that no other method has returned yet: calls that
// an Offer displaced.
func (g *Gate) Pending() []Event {
	events := g.pending
	g.pending = nil
	return events
}

// Report returns the load for reports to other daemons. The incarnation is
// left to the caller.
func (g *Gate) Report() types.ReportSpec {
	return types.ReportSpec{
		InFlight: g.running, Queued: g.waiting(),
		Limit: g.capacity(), Latency: g.limit.Latency(), Draining: g.draining,
	}
}

// Idle reports whether no call runs or waits.
func (g *Gate) Idle() bool {
	return g.running == 0 && g.waiting() == 0
}
