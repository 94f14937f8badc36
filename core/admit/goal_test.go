package admit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/admit"
	"trefoilthread/core/types"
)

// outcome counts the results of a simulated load.
type outcome struct {
	prompt, late, refused int
	refusalDelay          time.Duration // sum of the waiting times of refused calls
}

// simulateOverload offers Poisson arrivals for one minute at 1.6 times the
// capacity of 10 slots. Calls take 100 ms and have a goal of 300 ms (if withGoal
// is set) and a deadline of 1 s.
func simulateOverload(withGoal bool) outcome {
	const (
		slots, work    = 10, 100 * time.Millisecond
		goal, deadline = 300 * time.Millisecond, time.Second
		rate           = 1.6 * slots / 0.1 // calls a second
		step           = time.Millisecond
	)
	rng := rand.New(rand.NewPCG(1, 2))
	g := admit.New(admit.Options{Slots: slots, Queue: 5 * slots, UrgentShare: -1})
	begin := time.Unix(0, 0)
	type call struct{ arrived, started time.Time }
	calls := make(map[admit.Ticket]*call)
	running := make(map[admit.Ticket]time.Time)
	var out outcome
	handle := func(now time.Time, events []admit.Event) {
		for _, ev := range events {
			if ev.Verdict == admit.Run {
				calls[ev.Ticket].started = now
				running[ev.Ticket] = now.Add(work)
				continue
			}
			out.refused++
			out.refusalDelay += now.Sub(calls[ev.Ticket].arrived)
		}
	}
	for now := begin; now.Before(begin.Add(time.Minute)); now = now.Add(step) {
		for t, end := range running {
			if now.Before(end) {
				continue
			}
			delete(running, t)
			if now.Sub(calls[t].arrived) <= goal {
				out.prompt++
			} else {
				out.late++
			}
			handle(now, g.Done(now, t, work, false))
		}
		if rng.Float64() < rate*step.Seconds() {
			spec := types.CallSpec{
				ID: "a", Service: "bookings", Worth: 1, Kind: "lookup", Deadline: now.Add(deadline),
			}
			if withGoal {
				spec.Goal = now.Add(goal)
			}
			c, err := types.NewCall(spec)
			if err != nil {
				panic(err)
			}
			t, v := g.Offer(now, c)
			calls[t] = &call{arrived: now}
			handle(now, g.Pending())
			switch v {
			case admit.Run:
				running[t] = now.Add(work)
			case admit.Refuse:
				out.refused++
			}
		}
		handle(now, g.Tick(now))
	}
	return out
}

// Guards against an overload in which nearly all answers miss their goal because
// calls that can no longer meet theirs run first, and against calls that wait
// long before they are refused. Of 160 calls a second 100 can be served; at least
// nine in ten of those must meet their goal.
func TestOverloadServesPromptCallsFirst(t *testing.T) {
	is := is.New(t)
	with, without := simulateOverload(true), simulateOverload(false)
	t.Logf("with goals %+v, without %+v", with, without)
	is.True(with.prompt >= 9*60*100/10)
	is.True(with.prompt > 2*without.prompt)
	is.True(with.refusalDelay/time.Duration(with.refused) < 200*time.Millisecond)
}

// Guards against a PromptOnly call that waits beyond its goal although another
// target may have a free slot.
func TestPromptOnlyIsRefusedBeyondItsGoal(t *testing.T) {
	is := is.New(t)
	g := admit.New(admit.Options{Slots: 1, UrgentShare: -1})
	now := time.Unix(0, 0)
	offer := func(promptOnly bool) admit.Verdict {
		c, err := types.NewCall(types.CallSpec{
			ID: "a", Service: "bookings", Worth: 1, Kind: "lookup", PromptOnly: promptOnly,
			Goal: now.Add(150 * time.Millisecond), Deadline: now.Add(time.Second),
		})
		is.NoErr(err)
		_, v := g.Offer(now, c)
		return v
	}
	c, err := types.NewCall(types.CallSpec{ID: "a", Service: "bookings", Kind: "lookup", Deadline: now.Add(time.Second)})
	is.NoErr(err)
	first, v := g.Offer(now, c)
	is.Equal(v, admit.Run)
	now = now.Add(100 * time.Millisecond)
	g.Done(now, first, 100*time.Millisecond, false)
	is.Equal(offer(true), admit.Run)
	is.Equal(offer(true), admit.Refuse) // 100 ms of waiting and 100 ms of work
	is.Equal(offer(false), admit.Wait)
}

// Guards against a PromptOnly call that starts on a slow host, keeps that pace
// and is answered late, and against the answers of a slow host raising the
// estimates for the usual pace.
func TestSlowHost(t *testing.T) {
	is := is.New(t)
	g := admit.New(admit.Options{Slots: 4, UrgentShare: -1})
	now := time.Unix(0, 0)
	offer := func(promptOnly bool) (admit.Ticket, admit.Verdict) {
		c, err := types.NewCall(types.CallSpec{
			ID: "a", Service: "bookings", Worth: 1, Kind: "lookup", PromptOnly: promptOnly,
			Goal: now.Add(300 * time.Millisecond), Deadline: now.Add(time.Second),
		})
		is.NoErr(err)
		return g.Offer(now, c)
	}
	run := func(took time.Duration) {
		ticket, v := offer(false)
		is.Equal(v, admit.Run)
		now = now.Add(took)
		g.Done(now, ticket, took, false)
	}
	run(100 * time.Millisecond)
	g.SetPace(4, 0, 1)
	_, v := offer(true)
	is.Equal(v, admit.Refuse)
	for range 20 {
		run(400 * time.Millisecond)
	}
	_, v = offer(true)
	is.Equal(v, admit.Refuse)
	g.SetPace(1, 0, 1)
	_, v = offer(true)
	is.Equal(v, admit.Run)
}

// Guards against the first calls after a start of the agent starting on a slow
// host because no service time has been measured yet. After a power loss, this is
// so at all agents at once.
func TestFirstCallsOnASlowHost(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	offer := func(g *admit.Gate, promptOnly bool) admit.Verdict {
		c, err := types.NewCall(types.CallSpec{
			ID: "a", Service: "bookings", Worth: 1, Kind: "lookup", PromptOnly: promptOnly,
			Goal: now.Add(900 * time.Millisecond), Deadline: now.Add(4 * time.Second),
		})
		is.NoErr(err)
		_, v := g.Offer(now, c)
		return v
	}
	g := admit.New(admit.Options{Slots: 4, UrgentShare: -1})
	g.SetPace(4, 300*time.Millisecond, 1)
	is.Equal(offer(g, true), admit.Refuse)
	is.Equal(offer(g, false), admit.Wait) // until the slow spell ends
	g.SetPace(1, 0, 1)
	is.Equal(len(g.Tick(now)), 1)
	is.Equal(offer(g, true), admit.Run)
}

// Guards against a kind of which no call is ever served, since its service time was assumed from
// the goal and is longer than the deadlines: no call ends that would correct it.
func TestAssumptionMeetsDeadline(t *testing.T) {
	for _, tc := range []struct {
		goal, deadline time.Duration
		pace           float64
	}{{3 * time.Second, 700 * time.Millisecond, 1}, {3 * time.Second, 700 * time.Millisecond, 7}, {time.Second, time.Second, 5}} {
		is := is.New(t)
		now := time.Unix(0, 0)
		g := admit.New(admit.Options{Slots: 1, UrgentShare: -1})
		g.SetPace(tc.pace, 0, 1)
		c, err := types.NewCall(types.CallSpec{
			ID: "a", Service: "bookings", Worth: 1, Kind: "pay", Goal: now.Add(tc.goal), Deadline: now.Add(tc.deadline),
		})
		is.NoErr(err)
		v, _ := g.Forecast(now, c, 0)
		is.Equal(v, admit.Run)
		_, v = g.Offer(now, c)
		is.Equal(v, admit.Run)
	}
}
