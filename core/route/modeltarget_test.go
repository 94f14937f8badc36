package route_test

import (
	"time"

	"trefoilthread/core/admit"
	"trefoilthread/core/pace"
	"trefoilthread/core/route"
	"trefoilthread/core/tries"
	"trefoilthread/core/types"
)

// modelTarget is a target of a world with the agent beside it.
type modelTarget struct {
	types.Target
	inFlight int
	latency  float64 // average service time
	phase    time.Duration
	queue    []*modelCall // without a gate

	gate     *admit.Gate // nil without kinds
	pace     pace.Tracker
	waiting  map[admit.Ticket]*modelCall
	running  []*modelCall
	coming   []*modelCall // sent, not there yet
	ticking  bool
	calledAt map[int]time.Duration // last arrival by picker
}

// enter handles a call that has come to its target.
func (w *world) enter(t *modelTarget, c *modelCall) {
	switch {
	case t.gate != nil:
		w.offer(t, c)
	case t == w.targets[0] && w.now >= w.changeAt && w.fails:
		w.after(100*time.Microsecond, func() { w.answer(t, c, route.Result{Failed: true}) })
	case t.inFlight < modelSlots:
		w.serve(t, c)
	default:
		t.queue = append(t.queue, c)
	}
}

// offer passes a call to the gate of its target.
func (w *world) offer(t *modelTarget, c *modelCall) {
	k := w.kinds[c.kind]
	call, err := types.NewCall(types.CallSpec{
		ID: "a", Service: "bookings", Kind: k.name, Worth: k.worth, PromptOnly: len(c.tried) < tries.MaxUndelivered,
		Goal: start.Add(c.began + k.objective), Deadline: start.Add(c.began + 4*k.objective),
	})
	if err != nil {
		panic(err)
	}
	t.calledAt[c.picker] = w.now
	w.setPace(t)
	switch ticket, v := t.gate.Offer(w.clock(), call); v {
	case admit.Run:
		c.ticket = ticket
		w.serve(t, c)
	case admit.Wait:
		t.waiting[ticket] = c
	default:
		w.answer(t, c, route.Result{Outcome: types.NotRun})
	}
	w.handle(t, t.gate.Pending())
	if len(t.waiting) > 0 && !t.ticking {
		t.ticking = true
		w.after(modelTick, func() { w.tick(t) })
	}
}

// tick checks the waiting calls of a target until there are none.
func (w *world) tick(t *modelTarget) {
	w.setPace(t)
	w.handle(t, t.gate.Tick(w.clock()))
	if t.ticking = len(t.waiting) > 0; t.ticking {
		w.after(modelTick, func() { w.tick(t) })
	}
}

func (w *world) handle(t *modelTarget, events []admit.Event) {
	for _, ev := range events {
		c := t.waiting[ev.Ticket]
		delete(t.waiting, ev.Ticket)
		if ev.Verdict == admit.Run {
			c.ticket = ev.Ticket
			w.serve(t, c)
		} else {
			w.answer(t, c, route.Result{Outcome: types.NotRun})
		}
	}
}

// setPace measures the pace of the target's host, as its agent does before a start.
func (w *world) setPace(t *modelTarget) {
	isNews := t.pace.Observe(w.clock(), w.hostFactor(t))
	relief, then := t.pace.ExpectedRecovery(w.clock())
	t.gate.SetPace(t.pace.Factor(), relief, then)
	if !isNews || !w.tellsPace {
		return
	}
	r := t.report()
	for i, p := range w.pickers {
		if at, ok := t.calledAt[i]; ok && w.now-at < modelRecent {
			w.after(w.distance(i, t), func() { p.ApplyReport(w.clock(), t.ID(), r) })
		}
	}
}

// hostFactor returns the present slowdown of the target's host.
func (w *world) hostFactor(t *modelTarget) float64 {
	if w.hosts.factor > 0 && (w.now+t.phase)%(4*w.hosts.lasts) < w.hosts.lasts {
		return w.hosts.factor
	}
	return 1
}

// serviceTime returns the time that a call takes that starts now.
func (w *world) serviceTime(t *modelTarget, c *modelCall) time.Duration {
	if t.gate == nil {
		d := w.rng.ExpFloat64() * float64(modelServiceTime)
		if t == w.targets[0] && w.now >= w.changeAt && w.slow > 0 {
			d *= w.slow
		}
		return time.Duration(d)
	}
	d := float64(w.kinds[c.kind].work) * w.hostFactor(t)
	if float64(t.inFlight) >= fullShare*modelSlots {
		d *= w.full
	}
	return time.Duration(d)
}

// serve starts a call in a slot.
func (w *world) serve(t *modelTarget, c *modelCall) {
	t.inFlight++
	d := w.serviceTime(t, c)
	c.end = w.now + d
	t.running = append(t.running, c)
	w.after(d, func() {
		t.inFlight--
		t.running = without(t.running, c)
		t.latency += (float64(d) - t.latency) / 16
		if t.gate != nil {
			w.setPace(t)
			events := t.gate.Done(w.clock(), c.ticket, d, false)
			w.answer(t, c, route.Result{})
			w.handle(t, events)
			return
		}
		w.answer(t, c, route.Result{})
		if len(t.queue) > 0 {
			c := t.queue[0]
			t.queue = t.queue[1:]
			w.serve(t, c)
		}
	})
}

// report returns the load of a target.
func (t *modelTarget) report() types.Report {
	if t.gate == nil {
		return types.NewReport(types.ReportSpec{
			InFlight: t.inFlight, Queued: len(t.queue), Limit: modelSlots, Latency: time.Duration(t.latency),
		})
	}
	r := t.gate.Report()
	r.Incarnation, r.Pace = 1, t.pace.Current()
	return types.NewReport(r)
}
