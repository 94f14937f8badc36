package admit

import (
	"time"

	"golang.org/x/time/rate"

	"trefoilthread/core/limit"
	"trefoilthread/core/types"
)

// Gate decides which calls to one target run, wait or are refused.
type Gate struct {
	opts           Options
	limit          *limit.Limit
	rate           *rate.Limiter // of starts, nil if there is no limit
	cold           *rate.Limiter // of starts at a cold target, nil if it isn't cold
	entries        []*entry
	free           []*entry
	urgent         queue
	normal         queue
	running        int
	runningNormal  int
	urgentStreak   int
	draining       bool
	expecting      int // calls whose bodies are on their way
	lastID         uint64
	pending        []Event
	kinds          map[string]int // numbers of named kinds
	pace           float64        // time that work takes now relative to the usual time
	paceChangeIn   time.Duration  // time until the pace is expected to change, 0 if unknown
	nextPace       float64        // pace after paceChangeIn
	runningPaceSum float64        // sum of the paces at which running calls started
	customers      customers      // how the calls of each customer were served
	ranks          rankShares     // how the calls of each rank were served
}

// New returns a gate that is not draining and has the usual pace.
func New(o Options) *Gate {
	g := &Gate{
		opts:   o.withDefaults(),
		urgent: queue{before: arrivedFirst(byDeadline)},
		normal: queue{before: arrivedFirst(byWorthRate)},
		pace:   1, nextPace: 1,
	}
	g.limit = limit.New(g.limitOptions())
	return g
}

// SetOptions changes the options. Running calls keep their slots. If the queue
// becomes smaller, the waiting calls of least value beyond its size are refused
// (see Pending). Added slots are granted by the next Tick.
func (g *Gate) SetOptions(o Options) {
	g.opts = o.withDefaults()
	g.limit.SetOptions(g.limitOptions())
	g.shrinkQueue()
}

func (g *Gate) limitOptions() limit.Options {
	return limit.Options{Max: g.opts.Slots, MinShare: g.opts.MinShare, Tolerance: g.opts.Tolerance}
}

// SetPace sets the pace of work that starts now on the target's VM: the time that
// it takes relative to the usual time, so 1 is usual and 2 is twice as long. The
// pace is expected to become next after changeIn; a changeIn of 0 means that no
// change is expected. A pace of 0 or less is ignored.
func (g *Gate) SetPace(pace float64, changeIn time.Duration, next float64) {
	if pace > 0 {
		g.pace, g.paceChangeIn, g.nextPace = pace, changeIn, next
	}
}

// serviceTime returns the time until e is expected to end if a slot is free for
// it now. A call keeps the pace that the host has at its start, so its start may
// be delayed until the host is faster; the delay is included.
func (g *Gate) serviceTime(now time.Time, e *entry) time.Duration {
	usual := g.usualServiceTime(now, e)
	if g.isDelayed(now, e) {
		return g.paceChangeIn + time.Duration(float64(usual)*g.nextPace)
	}
	return time.Duration(float64(usual) * g.pace)
}

// goalServiceRatio is the usual ratio of the time to a goal to the service time.
// It gives the assumed service time until a call of the kind has ended.
const goalServiceRatio = 3

// usualServiceTime returns the service time of e at the usual pace, 0 if neither
// a median nor a goal is known.
func (g *Gate) usualServiceTime(now time.Time, e *entry) time.Duration {
	if d := g.limit.Median(now, e.kind); d > 0 {
		return d
	}
	return e.assumedService
}

// isDelayed reports whether e would end sooner if it started after the expected
// change of the pace. It then also occupies a slot for less time.
func (g *Gate) isDelayed(now time.Time, e *entry) bool {
	return g.paceChangeIn > 0 && time.Duration(float64(g.usualServiceTime(now, e))*(g.pace-g.nextPace)) > g.paceChangeIn
}

// meanServiceTime returns the mean service time of the running calls at the paces
// at which they started; at the usual pace if none runs.
func (g *Gate) meanServiceTime() time.Duration {
	d := g.limit.Latency()
	if g.running == 0 {
		return d
	}
	return time.Duration(float64(d) * g.runningPaceSum / float64(g.running))
}

// Offer decides whether a call that has arrived runs, waits or is refused. A
// refused call has not run, and its ticket has the reason. A waiting call gets
// its final decision in an Event.
func (g *Gate) Offer(now time.Time, c types.Call) (Ticket, Verdict) {
	t, v := g.decide(now, c)
	if v == Refuse {
		g.customers.recordRefusal(g.customers.find(c.Customer()), t.reason)
	}
	return t, v
}

// decide is Offer without the count of refusals.
func (g *Gate) decide(now time.Time, c types.Call) (Ticket, Verdict) {
	if g.draining {
		return g.refusal(reasonDraining), Refuse
	}
	remaining := c.Remaining(now)
	e := g.newEntry(now, c)
	service := g.serviceTime(now, e)
	if remaining <= 0 || remaining < service {
		g.release(e)
		return g.refusal(reasonDeadline), Refuse
	}
	e.worthRate = g.worthRate(now, e.kind, c.Worth())
	g.ranks.recordOffer(now, e)
	delayed := g.isDelayed(now, e)
	if e.promptOnly && (delayed || g.missesGoal(now, e, 0)) {
		return g.refuse(e, reasonGoal)
	}
	if !delayed && g.hasSlot(now, e.urgent) && g.queueOf(e).Len() == 0 && (e.urgent || g.urgent.Len() == 0) {
		g.start(now, e)
		return e.ticket(), Run
	}
	if g.ranks.exceedsUrgent(now, e) && !g.customers.isUnderserved(e.customer) {
		return g.refuse(e, reasonRank)
	}
	if g.isBeyondCold(now, e, g.startsBefore(e)) {
		return g.refuse(e, reasonCold)
	}
	if g.missesGoal(now, e, g.estimatedWait(now, e)) {
		if e.promptOnly {
			return g.refuse(e, reasonGoal)
		}
		switch {
		case !g.hasPromptBacklog(e):
			e.demote()
		case !g.makeRoomForGoal(now, e):
			return g.refuse(e, reasonGoal)
		}
	}
	if remaining < g.estimatedWait(now, e)+service {
		return g.refuse(e, reasonDeadline)
	}
	if !g.makeRoom(e) {
		return g.refuse(e, reasonQueueFull)
	}
	g.queueOf(e).add(e)
	return e.ticket(), Wait
}

// Done frees the slot of a running call that ended after the given service time
// in the target, and starts waiting calls. A ticket that holds no slot changes
// nothing.
func (g *Gate) Done(now time.Time, t Ticket, service time.Duration, failed bool) []Event {
	e := g.find(t)
	if e == nil || !e.running {
		return g.Pending()
	}
	// Estimates are stored for the usual pace. The time of a canceled call is
	// only a lower bound, like that of a failed one.
	usual := time.Duration(float64(service) / e.pace)
	g.limit.Observe(now, e.kind, usual, g.running, failed || e.canceled)
	g.running--
	g.runningPaceSum -= e.pace
	if !e.urgent {
		g.runningNormal--
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

// Tick refuses waiting calls that would miss their deadline even if they started
// now, demotes or refuses those that would miss their goal, and starts waiting
// calls in free slots.
func (g *Gate) Tick(now time.Time) []Event {
	g.dropBeyondCold(now)
	for _, e := range g.entries {
		switch {
		case e.id == 0 || e.running:
		case g.missesDeadline(now, e):
			g.drop(e, reasonDeadline)
		case !e.demoted && g.missesGoal(now, e, 0):
			g.demoteOrDrop(e)
		}
	}
	return g.grant(now)
}

// Drain refuses all waiting calls and every later offer until Resume.
func (g *Gate) Drain(_ time.Time) []Event {
	g.draining = true
	for _, e := range g.entries {
		if e.id != 0 && !e.running {
			g.drop(e, reasonDraining)
		}
	}
	return g.Pending()
}

// Resume ends a drain: offers are accepted again.
func (g *Gate) Resume() { g.draining = false }

// Pending returns the events that no other method has returned yet: refusals of
// calls that an Offer displaced or for which SetOptions left no place.
func (g *Gate) Pending() []Event {
	events := g.pending
	g.pending = nil
	return events
}

// Report returns the load for reports to other daemons. The caller fills in the
// incarnation.
func (g *Gate) Report() types.ReportSpec {
	return types.ReportSpec{
		InFlight: g.running, Queued: g.waiting() + g.expecting,
		Limit: g.effectiveSlots(), Latency: g.limit.Latency(), Draining: g.draining,
	}
}

// Idle reports whether no call runs, waits or is expected.
func (g *Gate) Idle() bool {
	return g.running == 0 && g.waiting() == 0 && g.expecting == 0
}
