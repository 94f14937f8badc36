package admit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/admit"
	"trefoilthread/core/types"
)

const (
	rateStep   = 5 * time.Millisecond
	rateWindow = 4 * time.Second
	rateLength = 30 * time.Second
)

// limitedStarts offers random arrivals to a gate with a rate limit, and returns the times
// of the starts after the first and the number of refusals. Calls take 100 ms.
func limitedStarts(limit, offered float64) (starts []time.Duration, refused int) {
	const work = 100 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 2))
	g := admit.New(admit.Options{Slots: 12, UrgentShare: -1})
	begin := time.Unix(0, 0)
	g.SetRate(begin, limit)
	running := make(map[admit.Ticket]time.Time)
	for now := begin; now.Before(begin.Add(rateLength)); now = now.Add(rateStep) {
		handle := func(events []admit.Event) {
			for _, ev := range events {
				if ev.Verdict != admit.Run {
					refused++
					continue
				}
				starts = append(starts, now.Sub(begin))
				running[ev.Ticket] = now.Add(work)
			}
		}
		for t, end := range running {
			if !now.Before(end) {
				delete(running, t)
				handle(g.Done(now, t, work, false))
			}
		}
		for arrived := rng.Float64(); arrived < offered*rateStep.Seconds(); arrived++ {
			c, err := types.NewCall(types.CallSpec{
				ID: "a", Service: "bookings", Worth: 1, Kind: "lookup",
				Goal: now.Add(400 * time.Millisecond), Deadline: now.Add(time.Second),
			})
			if err != nil {
				panic(err)
			}
			t, v := g.Offer(now, c)
			handle(g.Pending())
			switch v {
			case admit.Run:
				starts = append(starts, now.Sub(begin))
				running[t] = now.Add(work)
			case admit.Refuse:
				refused++
			}
		}
		handle(g.Tick(now))
	}
	return starts, refused
}

// Guards against a target that gets more calls than it takes, in any four seconds one and a
// half times as many and five, and against one that gets far fewer.
func TestRateLimitHolds(t *testing.T) {
	for _, limit := range []float64{0.1, 2, 7.5, 30, 90} {
		is := is.New(t)
		starts, refused := limitedStarts(limit, 3*max(limit, 1))
		is.True(refused > 0)
		for i, first := range starts {
			n := 0
			for _, at := range starts[i:] {
				if at-first < rateWindow {
					n++
				}
			}
			is.True(float64(n) <= 1.5*limit*rateWindow.Seconds()+5)
		}
		is.True(float64(len(starts)) >= 0.9*limit*rateLength.Seconds())
	}
}

// Guards against a limit that stays after the target has stopped to name one.
func TestRateLimitEnds(t *testing.T) {
	is := is.New(t)
	g := admit.New(admit.Options{Slots: 12, UrgentShare: -1})
	now := time.Unix(0, 0)
	call, err := types.NewCall(types.CallSpec{
		ID: "a", Service: "bookings", Worth: 1, Goal: now.Add(time.Second), Deadline: now.Add(time.Second),
	})
	is.NoErr(err)
	g.SetRate(now, 1)
	_, v := g.Offer(now, call)
	is.Equal(v, admit.Run)
	_, v = g.Offer(now, call)
	is.Equal(v, admit.Refuse) // its turn comes after its deadline
	is.Equal(g.Report().Limit, 1)
	g.SetRate(now, 0)
	_, v = g.Offer(now, call)
	is.Equal(v, admit.Run)
	is.Equal(g.Report().Limit, 12)
}
