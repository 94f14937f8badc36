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

// hostPlay is a simulated load on a target whose host is four times slower in
// spells of half a second, a third of the time.
type hostPlay struct {
	seed  uint64
	time  time.Duration
	load  float64 // part of what the slots do at the usual pace
	holds bool    // calls wait for the end of a spell
	cold  bool    // the target has just started: all work takes twice as long
	tells bool    // it says so
}

// run plays Poisson arrivals at 10 slots. Calls take 300 ms and keep the pace at
// which they start. It returns how many were answered within their goal of a
// second.
func (h hostPlay) run() (prompt, all int) {
	const (
		slots, work    = 10, 300 * time.Millisecond
		goal, deadline = time.Second, 3 * time.Second
		step           = time.Millisecond
		epoch          = 500 * time.Millisecond
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
	if h.tells {
		p.SetCold(begin, h.time)
	}
	type run struct {
		end  time.Time
		took time.Duration
	}
	arrived, running := make(map[admit.Ticket]time.Time), make(map[admit.Ticket]run)
	now, current := begin, usual
	start := func(t admit.Ticket) {
		took := time.Duration(current * float64(work))
		running[t] = run{now.Add(took), took}
	}
	take := func(events []admit.Event) {
		for _, ev := range events {
			if ev.Verdict == admit.Run {
				start(ev.Ticket)
			}
		}
	}
	for ; now.Before(begin.Add(h.time)); now = now.Add(step) {
		if now.Sub(begin)%epoch == 0 {
			current = usual
			if rng.Float64() < 1.0/3 {
				current *= 4
			}
		}
		p.Observe(now, current)
		relief, then := p.Relief(now)
		if !h.holds {
			relief = 0
		}
		g.SetPace(current, relief, then)
		for t, r := range running {
			if now.Before(r.end) {
				continue
			}
			delete(running, t)
			if now.Sub(arrived[t]) <= goal {
				prompt++
			}
			take(g.Done(now, t, r.took, false))
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
				start(t)
			}
			take(g.Pending())
		}
		take(g.Tick(now))
	}
	return prompt, all
}

// Guards against slots that are taken four times as long by calls that start in
// a slow spell of the host. If all start at once, calls take twice the usual time
// on average and the slots carry 0.5 of their usual load, which is less than
// comes; if they wait for the end of the spell, 0.67. So a quarter more at least
// has to be answered in time.
func TestCallsWaitForTheEndOfASlowSpell(t *testing.T) {
	is := is.New(t)
	play := hostPlay{seed: 3, time: 2 * time.Minute, load: 0.55}
	started, _ := play.run()
	play.holds = true
	held, all := play.run()
	t.Logf("of %d calls %d in time if they wait, %d if they start at once", all, held, started)
	is.True(held*4 >= started*5)
}

// Guards against a target that has just started and lets calls wait for the end of
// its slowness as if that were a spell: after a loss of power of all VMs of
// qattrota-mct-grown nearly all calls were refused for a second while most slots were
// free. The target plays its first three seconds forty times.
func TestColdTargetServesAtOnce(t *testing.T) {
	is := is.New(t)
	told, untold, all := 0, 0, 0
	for seed := range uint64(40) {
		play := hostPlay{seed: seed, time: 3 * time.Second, load: 0.25, holds: true, cold: true}
		n, _ := play.run()
		untold += n
		play.tells = true
		n, m := play.run()
		told += n
		all += m
	}
	t.Logf("of %d calls %d in time if the target says that it is cold, %d if not", all, told, untold)
	is.True(told*4 >= untold*5)
}
