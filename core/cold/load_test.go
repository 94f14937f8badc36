package cold_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/admit"
	"trefoilthread/core/cold"
	"trefoilthread/core/route"
	"trefoilthread/core/types"
)

const (
	modelCallers = 12
	modelSlots   = 12
	lastArrival  = 5000 // ms; the model ends a second later
	modelTries   = 3    // attempts that no target started
)

// model is a service of four targets with their gates, and callers that choose among them by
// the reports in the answers. Calls between daemons take no time.
type model struct {
	rng                             *rand.Rand
	now                             time.Time
	work                            time.Duration
	targets                         []*modelTarget
	callers                         []*route.Picker
	arrived, answered, firstRefused int
}

type modelTarget struct {
	types.Target
	gate            *admit.Gate
	cold            *cold.Tracker
	wasCold         bool
	coldFrom, until time.Time // cold time of the target itself
	waiting         map[admit.Ticket]*modelCall
	running         []*modelCall
	starts          []time.Time // while the target is cold
}

type modelCall struct {
	caller            *route.Picker
	token             route.Token
	ticket            admit.Ticket
	tried             []types.TargetID
	began, start, end time.Time
}

// newModel returns a model whose first targets turn cold after a second.
func newModel(seed uint64, work time.Duration, coldTargets int) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 1)), now: begin, work: work}
	var list []types.Target
	for i := range 4 {
		t := &modelTarget{
			Target: types.NewTarget(types.TargetSpec{ID: types.TargetID(fmt.Sprint("t", i)), DataCentre: "a", Slots: modelSlots, Incarnation: 1}),
			gate:   admit.New(admit.OptionsFor(modelSlots, 820)), cold: cold.New(begin), waiting: make(map[admit.Ticket]*modelCall),
		}
		if i < coldTargets {
			t.coldFrom, t.until = atMs(1000), atMs(1000+coldTime)
		}
		m.targets, list = append(m.targets, t), append(list, t.Target)
	}
	for i := range modelCallers {
		p := route.New(route.Options{Self: types.TargetID(fmt.Sprint("c", i)), DataCentre: "a", Seed: seed, Subset: 6})
		p.Update(begin, list)
		m.callers = append(m.callers, p)
	}
	return m
}

// remaining returns how much longer the target is cold.
func (t *modelTarget) remaining(now time.Time) time.Duration {
	if now.Before(t.coldFrom) {
		return 0
	}
	return max(0, t.until.Sub(now))
}

// update makes a health check if one is due and sets the limit of the gate.
func (m *model) update(t *modelTarget) {
	if t.cold.NeedsCheck(m.now, npBound.Spare(npRate)) {
		t.cold.Hear(m.now, m.now, t.remaining(m.now))
	}
	isCold := t.cold.IsCold(m.now, checked)
	if isCold {
		perSecond, burst := npBound.Limit(npRate)
		t.gate.SetColdRate(m.now, perSecond, burst, npBound.Debt(npRate, t.cold.Unseen(m.now)))
	} else {
		t.gate.SetColdRate(m.now, 0, 0, 0)
	}
	if isCold != t.wasCold {
		t.wasCold = isCold
		m.handle(t, t.gate.Tick(m.now))
		for _, p := range m.callers {
			p.ApplyReport(m.now, t.ID(), t.report(m.now))
		}
	}
}

func (t *modelTarget) report(now time.Time) types.Report {
	r := t.gate.Report()
	r.Incarnation, r.Pace = 1, 1
	r.Rate, r.StartIn = t.gate.ColdRate(now)
	r.RateLasts = t.cold.Remaining(now, checked)
	return types.NewReport(r)
}

func (m *model) start(t *modelTarget, id admit.Ticket, c *modelCall) {
	c.ticket, c.start, c.end = id, m.now, m.now.Add(m.work)
	if t.remaining(m.now) > 0 {
		t.starts = append(t.starts, m.now)
		c.end = m.now.Add(2 * m.work)
	}
	t.cold.Start(m.now)
	t.running = append(t.running, c)
}

func (m *model) handle(t *modelTarget, events []admit.Event) {
	for _, ev := range events {
		c := t.waiting[ev.Ticket]
		delete(t.waiting, ev.Ticket)
		if ev.Verdict == admit.Run {
			m.start(t, ev.Ticket, c)
		} else {
			m.refused(t, c)
		}
	}
}

// end passes the end of an attempt to its caller.
func (m *model) end(t *modelTarget, c *modelCall, o types.Outcome) {
	c.caller.Finish(m.now, c.token, route.Result{Outcome: o, Latency: m.now.Sub(c.began), HasReport: true, Report: t.report(m.now)})
}

// refused ends an attempt that wasn't started, and makes the next one.
func (m *model) refused(t *modelTarget, c *modelCall) {
	m.end(t, c, types.NotRun)
	if len(c.tried) == 1 {
		m.firstRefused++
	}
	if len(c.tried) < modelTries {
		m.send(c)
	}
}

// send makes an attempt of a call with a goal of 500 ms and a deadline of 2 s.
func (m *model) send(c *modelCall) {
	chosen, ok := c.caller.Pick(m.now, c.tried)
	if !ok {
		return
	}
	c.tried = append(c.tried, chosen.ID())
	c.token = c.caller.Start(m.now, chosen.ID())
	t := m.targets[slices.IndexFunc(m.targets, func(t *modelTarget) bool { return t.ID() == chosen.ID() })]
	m.update(t)
	call, err := types.NewCall(types.CallSpec{
		ID: "a", Service: "scan", Kind: "scan", Worth: 1, PromptOnly: len(c.tried) < modelTries,
		Goal: c.began.Add(forMs(500)), Deadline: c.began.Add(2 * time.Second),
	})
	if err != nil {
		panic(err)
	}
	switch id, v := t.gate.Offer(m.now, call); v {
	case admit.Run:
		m.start(t, id, c)
	case admit.Wait:
		t.waiting[id] = c
	default:
		m.refused(t, c)
	}
	m.handle(t, t.gate.Pending())
}

// finish ends the calls at a target whose work is done.
func (m *model) finish(t *modelTarget) {
	for _, c := range slices.Clone(t.running) {
		if !m.now.Before(c.end) {
			t.running = slices.DeleteFunc(t.running, func(o *modelCall) bool { return o == c })
			m.answered++
			events := t.gate.Done(m.now, c.ticket, m.now.Sub(c.start), false)
			m.end(t, c, types.Done)
			m.handle(t, events)
		}
	}
}

// run plays arrivals of perSecond calls until lastArrival, and of burst calls a moment after
// targets have turned cold.
func (m *model) run(perSecond float64, burst int) {
	for ms := range lastArrival + 1000 {
		m.now = atMs(ms)
		for _, t := range m.targets {
			m.finish(t)
			if ms%20 == 0 && len(t.waiting) > 0 {
				m.update(t)
				m.handle(t, t.gate.Tick(m.now))
			}
		}
		n := 0
		if ms == 1001 {
			n = burst
		}
		if ms < lastArrival && m.rng.Float64() < perSecond/1000 {
			n++
		}
		for range n {
			m.arrived++
			m.send(&modelCall{caller: m.callers[m.rng.IntN(modelCallers)], began: m.now})
		}
	}
}

// mostStarts returns the largest number of starts within a second at the target while cold.
func (t *modelTarget) mostStarts() (most int) {
	for i, first := range t.starts {
		n := slices.IndexFunc(t.starts[i:], func(at time.Time) bool { return at.Sub(first) >= time.Second })
		if n < 0 {
			n = len(t.starts) - i
		}
		most = max(most, n)
	}
	return most
}

// Guards against a cold target that gets more calls in a second than it takes: with a burst at
// the moment it turns cold, beside warm ones, or if all are cold. Also guards against one
// that attracts calls with its empty slots: requests are then refused while other targets
// have room.
func TestColdTargetsUnderLoad(t *testing.T) {
	for _, tc := range []struct {
		name      string
		cold      int
		work      int
		perSecond float64
		burst     int
		answered  float64 // least share of the requests
		refused   float64 // largest share of first attempts that are refused
	}{
		{"one of four", 1, 160, 170, 0, 0.99, 0.03},
		{"one of four, short calls", 1, 35, 200, 0, 0.999, 0.0009},
		{"burst when one turns cold", 1, 35, 200, 100, 0.998, 0.02},
		{"all cold", 4, 160, 160, 0, 0.58, 0.57},
		{"burst when all turn cold", 4, 35, 160, 120, 0.53, 0.6},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(5) {
				is := is.New(t)
				m := newModel(seed, forMs(tc.work), tc.cold)
				m.run(tc.perSecond, tc.burst)
				most := 0
				for _, target := range m.targets {
					most = max(most, target.mostStarts())
				}
				answered, refused := float64(m.answered)/float64(m.arrived), float64(m.firstRefused)/float64(m.arrived)
				t.Logf("seed %d: arrived %d, answered %.3f, first attempts refused %.3f, most starts %d", seed, m.arrived, answered, refused, most)
				is.True(most <= npLimit)
				is.True(answered >= tc.answered)
				is.True(refused <= tc.refused)
			}
		})
	}
}
