package agent

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"trefoilthread/core/admit"
	"trefoilthread/core/beat"
	"trefoilthread/core/pace"
	"trefoilthread/core/probe"
	"trefoilthread/core/types"
	"trefoilthread/core/vhost"
	"trefoilthread/io/local"
	"trefoilthread/io/mesh"
)

const (
	// checkInterval is how often calls that wait are looked at.
	checkInterval = 20 * time.Millisecond
	// downPause is how long a target that accepts no connection is left alone.
	downPause = 150 * time.Millisecond
)

// ownOptions configure an own. All fields are required.
type ownOptions struct {
	clock  clockwork.Clock
	log    log.Interface
	count  *counts
	wire   Wire
	client *local.Client
	// changed is told when the target or its state is another one.
	changed func()
	// paceChanged is told when work takes longer or shorter than was last told.
	paceChanged func(cur beat.Announcement, l mesh.Load)
	suspects    *suspects
	// service returns what is known of a service.
	service func(name types.ServiceName) vhost.ServiceSpec
	// presence describes the target together with this agent.
	presence func(cur beat.Announcement) *mesh.Presence
	// probes bounds the health checks.
	probes *probe.Budget
}

// own is the target on this VM.
type own struct {
	ownOptions

	mu       sync.Mutex
	beat     *beat.Beat
	gate     *admit.Gate
	waiters  map[admit.Ticket]chan admit.Event
	ticking  bool
	stopping bool      // this agent is stopping
	downTill time.Time // the target accepted no connection
	pace     pace.Tracker

	probing   chan struct{} // closed when the open health check has ended
	probeFrom time.Time     // no health check before
}

func newOwn(opts ownOptions) *own {
	return &own{
		ownOptions: opts, beat: beat.New(), gate: admit.New(admit.OptionsFor(0, 0)),
		waiters: make(map[admit.Ticket]chan admit.Event),
	}
}

// announce takes a message of the target. Draining is in force when it
// returns.
func (o *own) announce(a beat.Announcement) beat.Verdict {
	v := o.apply("announcement", a.ID, func() beat.Verdict { return o.beat.Announce(a) })
	if v != beat.Stale {
		o.mu.Lock()
		o.pace.SetCold(o.clock.Now(), a.Cold)
		o.setGatePace()
		o.mu.Unlock()
	}
	return v
}

// leave takes the last message of the target.
func (o *own) leave(id types.TargetID, born uint64) beat.Verdict {
	return o.apply("leave", id, func() beat.Verdict { return o.beat.Leave(id, born) })
}

// restore sets what an earlier start of this agent has recorded.
func (o *own) restore(a beat.Announcement, gone bool) {
	o.apply("record", a.ID, func() beat.Verdict { return o.beat.Restore(a, gone) })
}

// apply changes the belief about the target and the gate with it.
func (o *own) apply(source string, id types.TargetID, change func() beat.Verdict) beat.Verdict {
	o.mu.Lock()
	before, _ := o.beat.Current()
	v := change()
	cur, _ := o.beat.Current()
	state := o.beat.State()
	var events []admit.Event
	if v == beat.Changed {
		if before.ID != cur.ID || before.Born != cur.Born {
			o.replaced(cur)
		}
		events = o.setGate(cur, state)
	}
	o.mu.Unlock()
	o.deliver(events)
	if v != beat.Same {
		o.log.WithFields(log.Fields{
			"source": source, "target": string(id), "born": cur.Born, "sequence": cur.Sequence,
			"state": state.String(), "verdict": v.String(), "service": string(cur.Service),
		}).Info("target")
	}
	if v == beat.Changed {
		o.changed()
	}
	return v
}

// replaced forgets what belonged to the previous target, with the lock held.
func (o *own) replaced(cur beat.Announcement) {
	o.pace = pace.Tracker{}
	o.setGatePace()
	o.downTill = time.Time{}
	if cur.Address != "" {
		o.client.SetAddr(cur.Address)
	}
}

// setGate brings the gate in line with the target's state, with the lock held.
func (o *own) setGate(cur beat.Announcement, state types.TargetState) []admit.Event {
	if state != types.Up || o.stopping {
		return o.gate.Drain(o.clock.Now())
	}
	o.gate.Resume()
	o.gate.SetOptions(admit.OptionsFor(cur.Slots, o.service(cur.Service).Connections))
	return o.gate.Tick(o.clock.Now())
}

// stop refuses all further calls.
func (o *own) stop() {
	o.mu.Lock()
	o.stopping = true
	events := o.gate.Drain(o.clock.Now())
	o.mu.Unlock()
	o.deliver(events)
	o.changed()
}

// isIdle reports whether the target runs no call of this agent's gate.
func (o *own) isIdle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.gate.Idle()
}

// target returns the target and its state; false without one.
func (o *own) target() (beat.Announcement, types.TargetState, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	cur, ok := o.beat.Current()
	state := o.beat.State()
	if o.stopping && state == types.Up {
		state = types.Draining
	}
	return cur, state, ok
}

// load returns the load of the target, with the lock held.
func (o *own) load() mesh.Load {
	r := o.gate.Report()
	cur, _ := o.beat.Current()
	return mesh.Load{
		InFlight: r.InFlight, Queued: r.Queued, Limit: r.Limit,
		LatencyUs: r.Latency.Microseconds(), Draining: r.Draining, Born: cur.Born, Pace: o.pace.Current(),
	}
}

// deliver hands events to the calls that wait for them.
func (o *own) deliver(events []admit.Event) {
	if len(events) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, ev := range events {
		if ch := o.waiters[ev.Ticket]; ch != nil {
			delete(o.waiters, ev.Ticket)
			ch <- ev
		}
	}
}

// setGatePace hands the pace of the host to the gate, with the lock held.
func (o *own) setGatePace() {
	relief, then := o.pace.Relief(o.clock.Now())
	o.gate.SetPace(o.pace.Factor(), relief, then)
}

// tick looks at the waiting calls until none is left. Some may wait for the end
// of a slow spell of the host.
func (o *own) tick() {
	o.measure(context.Background())
	o.mu.Lock()
	o.setGatePace()
	events := o.gate.Tick(o.clock.Now())
	o.ticking = o.gate.Report().Queued > 0
	if o.ticking {
		o.clock.AfterFunc(checkInterval, o.tick)
	}
	o.mu.Unlock()
	o.deliver(events)
}
