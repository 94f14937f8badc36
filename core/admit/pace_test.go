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

// spells plays Poisson arrivals at 0.55 of what 10 slots do at the usual pace,
// for two minutes, on a host that is four times slower in spells of half a
// second, a third of the time. Calls take 300 ms and keep the pace at which they
// start. It returns how many were answered within their goal of a second.
func spells(holds bool) (prompt, all int) {
	const (
		slots, work    = 10, 300 * time.Millisecond
		goal, deadline = time.Second, 3 * time.Second
		rate           = 0.55 * slots / 0.3
		step           = time.Millisecond
		epoch          = 500 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(3, 4))
	g := admit.New(admit.Options{Slots: slots, Queue: 5 * slots, UrgentShare: -1})
	var p pace.Tracker
	begin := time.Unix(0, 0)
	type run struct {
		end  time.Time
		took time.Duration
	}
	arrived, running := make(map[admit.Ticket]time.Time), make(map[admit.Ticket]run)
	now, current := begin, 1.0
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
	for ; now.Before(begin.Add(2 * time.Minute)); now = now.Add(step) {
		if now.Sub(begin)%epoch == 0 {
			current = 1
			if rng.Float64() < 1.0/3 {
				current = 4
			}
		}
		p.Observe(now, current)
		relief := p.Relief(now)
		if !holds {
			relief = 0
		}
		g.SetPace(current, relief)
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
	held, all := spells(true)
	started, _ := spells(false)
	t.Logf("of %d calls %d in time if they wait, %d if they start at once", all, held, started)
	is.True(held*4 >= started*5)
}
