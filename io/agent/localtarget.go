package agent

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"trefoilthread/core/admit"
	"trefoilthread/core/beat"
	"trefoilthread/core/cold"
	"trefoilthread/core/grace"
	"trefoilthread/core/link"
	"trefoilthread/core/pace"
	"trefoilthread/core/pause"
	"trefoilthread/core/probe"
	"trefoilthread/core/types"
	"trefoilthread/core/vhost"
	"trefoilthread/io/crash"
	"trefoilthread/io/local"
	"trefoilthread/io/mesh"
	"trefoilthread/io/mirror"
)

const (
	// queueCheckInterval is how often the gate checks the waiting calls.
	queueCheckInterval = 20 * time.Millisecond
	// downPause is how long a target gets no calls after it refused a connection.
	downPause = 150 * time.Millisecond
)

// localTargetOptions configure a localTarget. All fields are required.
type localTargetOptions struct {
	clock   clockwork.Clock
	log     log.Interface
	metrics *metrics
	wire    Wire
	client  *local.Client
	// linkSpeed is the speed of the network link of this VM in Mbit/s, 0 if unknown.
	linkSpeed float64
	// onChange is called when the target or its state has changed.
	onChange func()
	// onPaceChange is called when the pace of the target's host differs enough from the
	// last one reported.
	onPaceChange func(cur beat.Announcement, l mesh.Load)
	suspects     *crash.Suspects
	fresh        *mirror.Freshness
	// service returns the configuration of a service, the zero value if unknown.
	service func(name types.ServiceName) vhost.ServiceSpec
	// presence describes the target together with this agent.
	presence func(cur beat.Announcement) *mesh.Presence
	// stop returns the planned stop of this agent, nil if there is none.
	stop func() *grace.Stop
	// probes is the budget of the health checks.
	probes *probe.Budget
	// awaitCopy waits at the start until the state of the store is known, for a short time.
	awaitCopy func(ctx context.Context)
	// coldBound bounds the calls that start at a cold target.
	coldBound cold.Bound
}

// localTarget is the target on this VM with its admission gate and its connections. The
// pace of its host says how long work takes there at the moment: 1 as usual, 2 if it
// takes twice as long.
type localTarget struct {
	localTargetOptions
	running context.Context // of calls that continue after their caller has left
	cut     context.CancelFunc

	mu        sync.Mutex
	announced *beat.Tracker
	gate      *admit.Gate
	waiters   map[admit.Ticket]chan admit.Event
	link      *link.Link // over which the bodies of offered calls come
	offers    map[link.ID]chan link.Event
	ticking   bool
	stopping  bool      // this agent is stopping
	downUntil time.Time // no calls until then, as the target accepted no connection
	pace      pace.Tracker
	rate      float64 // calls a second that the target takes, 0 if it has named no limit
	pauses    pause.Tracker
	cold      *cold.Tracker
	isCold    bool // the gate has the limit for a cold target
	drained   bool // the data centre of the target is drained

	probeDone   chan struct{} // closed when the health check in flight has ended, nil if there is none
	nextProbeAt time.Time     // no health check before this time
}

func newLocalTarget(opts localTargetOptions) *localTarget {
	running, cut := context.WithCancel(context.Background())
	return &localTarget{
		localTargetOptions: opts, running: running, cut: cut, announced: beat.New(), gate: admit.New(admit.OptionsFor(0, 0)),
		waiters: make(map[admit.Ticket]chan admit.Event),
		link:    link.New(link.Options{Mbit: opts.linkSpeed}), offers: make(map[link.ID]chan link.Event),
		cold: cold.New(opts.clock.Now()),
	}
}

// announce applies an announcement of the target. If the target drains, the gate refuses
// new calls by the time announce returns.
func (t *localTarget) announce(a beat.Announcement) beat.Verdict {
	v := t.apply("announcement", a.ID, func() beat.Verdict { return t.announced.Announce(a) })
	if v != beat.Stale {
		t.mu.Lock()
		t.pace.SetWarmup(t.clock.Now(), a.Cold)
		t.setGatePace()
		t.mu.Unlock()
		t.hearAnnouncement(a.Cold)
	}
	return v
}

// leave applies the last message of the target.
func (t *localTarget) leave(id types.TargetID, born uint64) beat.Verdict {
	return t.apply("leave", id, func() beat.Verdict { return t.announced.Leave(id, born) })
}

// noteLeaving handles a response in which the target with an id says that it leaves.
func (t *localTarget) noteLeaving(id types.TargetID) {
	t.apply("response", id, func() beat.Verdict { return t.announced.NoteLeaving(id) })
}

// restore sets the target from the record of an earlier start of this agent.
func (t *localTarget) restore(a beat.Announcement, gone bool) {
	t.apply("record", a.ID, func() beat.Verdict { return t.announced.Restore(a, gone) })
}

// apply runs change on the known state of the target and updates the gate if that
// changed. source names the origin in the log.
func (t *localTarget) apply(source string, id types.TargetID, change func() beat.Verdict) beat.Verdict {
	t.mu.Lock()
	before, _ := t.announced.Current()
	v := change()
	cur, _ := t.announced.Current()
	state := t.announced.State()
	var events []admit.Event
	after := func() {}
	if v == beat.Changed {
		if before.ID != cur.ID || before.Born != cur.Born {
			t.reset(cur)
		}
		events = t.updateGate(cur, state)
		after = t.updateCold(t.clock.Now())
	}
	t.mu.Unlock()
	t.deliver(events)
	after()
	if v != beat.Same {
		t.log.WithFields(log.Fields{
			"source": source, "target": string(id), "born": cur.Born, "sequence": cur.Sequence,
			"state": state.String(), "verdict": v.String(), "service": string(cur.Service),
		}).Info("target")
	}
	if v == beat.Changed {
		t.onChange()
	}
	return v
}

// reset drops the state of the previous target, with the lock held.
func (t *localTarget) reset(cur beat.Announcement) {
	t.pace = pace.Tracker{}
	t.pauses = pause.Tracker{}
	t.setGatePace()
	t.rate = 0
	t.gate.SetRate(t.clock.Now(), 0)
	t.cold.Presume(t.clock.Now())
	t.downUntil = time.Time{}
	if cur.Address != "" {
		t.client.SetAddr(cur.Address)
	}
}

// updateGate sets the gate according to the target's state, with the lock held.
func (t *localTarget) updateGate(cur beat.Announcement, state types.TargetState) []admit.Event {
	if state != types.Up || t.stopping {
		return t.gate.Drain(t.clock.Now())
	}
	t.gate.Resume()
	t.gate.SetOptions(admit.OptionsFor(cur.Slots, t.service(cur.Service).MaxConnections))
	return t.gate.Tick(t.clock.Now())
}

// refuseCalls refuses all further calls, as this agent stops.
func (t *localTarget) refuseCalls() {
	t.mu.Lock()
	t.stopping = true
	events := t.gate.Drain(t.clock.Now())
	t.mu.Unlock()
	t.deliver(events)
	t.onChange()
}

// isIdle reports whether the gate has no running call.
func (t *localTarget) isIdle() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gate.Idle()
}

// current returns the target and its state; the last result is false if there is none.
func (t *localTarget) current() (beat.Announcement, types.TargetState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cur, ok := t.announced.Current()
	state := t.announced.State()
	if t.stopping && state == types.Up {
		state = types.Draining
	}
	return cur, state, ok
}

// announcedState returns the target and the state that it has announced itself, Down if
// there is none.
func (t *localTarget) announcedState() (beat.Announcement, types.TargetState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cur, _ := t.announced.Current()
	return cur, t.announced.State()
}

// load returns the load of the target, with the lock held.
func (t *localTarget) load() mesh.Load {
	r := t.gate.Report()
	cur, _ := t.announced.Current()
	perSecond, lastsMs, startInMs := t.coldLoad(t.clock.Now())
	return mesh.Load{
		InFlight: r.InFlight, Queued: r.Queued + t.link.Waiting(), Limit: r.Limit,
		LatencyUs: r.Latency.Microseconds(), Draining: r.Draining, Born: cur.Born, Pace: t.pace.Current(),
		LinkUs: t.link.Demand(t.clock.Now()).Microseconds(),
		Rate:   perSecond, RateMs: lastsMs, StartInMs: startInMs,
	}
}

// deliver passes events to the calls that wait for them.
func (t *localTarget) deliver(events []admit.Event) {
	if len(events) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ev := range events {
		if ch := t.waiters[ev.Ticket]; ch != nil {
			delete(t.waiters, ev.Ticket)
			ch <- ev
		}
	}
}

// setGatePace passes the pace of the host to the gate, with the lock held.
func (t *localTarget) setGatePace() {
	relief, then := t.pace.ExpectedRecovery(t.clock.Now())
	t.gate.SetPace(t.pace.Factor(), relief, then)
}

// tick checks the waiting calls each queueCheckInterval until none is left. Calls may
// wait for the end of a period in which the host is slow, so the pace is measured again.
func (t *localTarget) tick() {
	t.measurePace(context.Background())
	t.mu.Lock()
	t.setGatePace()
	after := t.updateCold(t.clock.Now())
	events := t.gate.Tick(t.clock.Now())
	t.decideOffers(t.clock.Now())
	t.ticking = t.gate.Report().Queued > 0 || t.link.Waiting() > 0
	if t.ticking {
		t.clock.AfterFunc(queueCheckInterval, t.tick)
	}
	t.mu.Unlock()
	t.deliver(events)
	after()
}
