package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/admit"
	"trefoilthread/core/types"
)

// coldCall returns a call with a goal and a deadline in milliseconds after now.
func coldCall(t *testing.T, now time.Time, id string, goal, deadline int) types.Call {
	t.Helper()
	c, err := types.NewCall(types.CallSpec{
		ID: id, Service: "scan", Worth: 1, Goal: now.Add(ms(goal)), Deadline: now.Add(ms(deadline)),
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Guards against a target that crashes as it turns cold: calls that wait start together, or
// starts are made up for; and against calls that wait for a start after their goal, though
// another target could run them.
func TestGateOfColdTarget(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := admit.New(admit.Options{Slots: 2, Queue: 20, UrgentShare: -1})
	var running []admit.Ticket
	for i := range 12 {
		id, v := g.Offer(now, coldCall(t, now, fmt.Sprint(i), 450, 5000))
		if v == admit.Run {
			running = append(running, id)
		}
	}
	is.Equal(g.Report().Queued, 10)
	g.SetColdRate(now, 10, 2, 0)
	refused := g.Pending()
	is.Equal(len(refused), 6) // starts at 100, 200, 300 and 400 ms
	is.Equal(refused[0].Reason, admit.ReasonCold)
	rate, startIn := g.ColdRate(now)
	is.Equal(rate, 10.0)
	is.Equal(startIn, ms(500))
	_, v := g.Offer(now, coldCall(t, now, "late", 450, 5000))
	is.Equal(v, admit.Refuse)
	_, v = g.Offer(now, coldCall(t, now, "later goal", 900, 5000))
	is.Equal(v, admit.Wait)
	starts := 0
	for at := 0; at <= 400; at += 20 {
		for _, id := range running {
			starts += len(g.Done(now.Add(ms(at)), id, ms(1), false))
		}
		running = nil
		starts += len(g.Tick(now.Add(ms(at))))
		if at == 80 {
			is.Equal(starts, 0)
		}
	}
	is.Equal(starts, 2) // the other slots are taken
	g.SetColdRate(now.Add(ms(500)), 0, 0, 0)
	rate, _ = g.ColdRate(now)
	is.Equal(rate, 0.0)
}
