package admit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/admit"
	"trefoilthread/core/pace"
	"trefoilthread/core/types"
)

// hostSim simulates a load on a target whose host is four times slower a third of
// the time, in spells of at least half a second.
type hostSim struct {
	seed             uint64
	duration         time.Duration
	load             float64 // as a share of the capacity of the slots at the usual pace
	waitsForSpellEnd bool    // calls wait for the end of a slow spell
	cold             bool    // the target has just started, and all work takes twice as long
	reportsCold      bool    // the target reports that it is cold
}

// run offers Poisson arrivals to a gate with 10 slots. Calls take 300 ms at the
// usual pace and keep the pace at which they start. It returns how many calls
// were answered within their goal of one second, and how many arrived.
func (h hostSim) run() (prompt, all int) {
	const (
		slots, work    = 10, 300 * time.Millisecond
		goal, deadline = time.Second, 3 * time.Second
		step           = time.Millisecond
		paceInterval   = 500 * time.Millisecond
	)
	rate := h.load * slots / work.Seconds()
	rng := rand.New(rand.NewPCG(h.seed, 4))
	g := admit.New(admit.Options{Slots: slots, Queue: 5 * slots, UrgentShare: -1})
	var p pace.Tracker
	begin := time.Unix(0, 0)
	usual := 1.0
	if h.cold {
		usual = 2
	}
	if h.reportsCold {
		p.SetWarmup(begin, h.duration)
	}
	type run struct {
		end  time.Time
		took time.Duration
	}
	arrived, running := make(map[admit.Ticket]time.Time), make(map[admit.Ticket]run)
	now, current := begin, usual
	startCall := func(t admit.Ticket) {
		took := time.Duration(current * float64(work))
		running[t] = run{now.Add(took), took}
	}
	handle := func(events []admit.Event) {
		for _, ev := range events {
			if ev.Verdict == admit.Run {
				startCall(ev.Ticket)
			}
		}
	}
	for ; now.Before(begin.Add(h.duration)); now = now.Add(step) {
		if now.Sub(begin)%paceInterval == 0 {
			current = usual
			if rng.Float64() < 1.0/3 {
				current *= 4
			}
		}
		p.Observe(now, current)
		changeIn, next := p.ExpectedRecovery(now)
		if !h.waitsForSpellEnd {
			changeIn = 0
		}
		g.SetPace(current, changeIn, next)
		for t, r := range running {
			if now.Before(r.end) {
				continue
			}
			delete(running, t)
			if now.Sub(arrived[t]) <= goal {
				prompt++
			}
			handle(g.Done(now, t, r.took, false))
		}
		if rng.Float64() < rate*step.Seconds() {
			all++
			c, err := types.NewCall(types.CallSpec{
				ID: "a", Service: "rota", Worth: 1, Kind: "lookup", Deadline: now.Add(deadline), Goal: now.Add(goal),
			})
			if err != nil {
				panic(err)
			}
			t, v := g.Offer(now, c)
			arrived[t] = now
			if v == admit.Run {
				startCall(t)
			}
			handle(g.Pending())
		}
		handle(g.Tick(now))
	}
	return prompt, all
}

// Guards against calls that start in a slow spell of the host and occupy their
// slots four times as long. If all calls start at once, they take twice the usual
// time on average, so the slots have 0.5 of their usual capacity, less than the
// load. If calls wait for the end of the spell, they have 0.67. So at least a
// quarter more calls must be answered in time.
func TestCallsWaitForTheEndOfASlowSpell(t *testing.T) {
	is := is.New(t)
	sim := hostSim{seed: 3, duration: 2 * time.Minute, load: 0.55}
	immediate, _ := sim.run()
	sim.waitsForSpellEnd = true
	delayed, all := sim.run()
	t.Logf("of %d calls %d in time if they wait, %d if they start at once", all, delayed, immediate)
	is.True(delayed*4 >= immediate*5)
}

// Guards against calls that wait for the end of a cold target's slow start as if
// it were a slow spell of the host: after a power loss of all VMs, nearly all
// calls were refused for a second while most slots were free. The first three
// seconds after a start are simulated with forty seeds.
func TestColdTargetServesAtOnce(t *testing.T) {
	is := is.New(t)
	reported, unreported, all := 0, 0, 0
	for seed := range uint64(40) {
		sim := hostSim{seed: seed, duration: 3 * time.Second, load: 0.25, waitsForSpellEnd: true, cold: true}
		n, _ := sim.run()
		unreported += n
		sim.reportsCold = true
		n, m := sim.run()
		reported += n
		all += m
	}
	t.Logf("of %d calls %d in time if the target reports that it is cold, %d if not", all, reported, unreported)
	is.True(reported*4 >= unreported*5)
}
