package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/admit"
	"trefoilthread/core/types"
)

// rankedCall returns a call of a route of a rank, whose kind is its worth.
func rankedCall(s types.CallSpec) types.Call {
	s.ID, s.Service, s.Kind = "a", "bookings", fmt.Sprint(s.Worth)
	if s.Deadline.IsZero() {
		s.Deadline = start.Add(time.Hour)
	}
	c, err := types.NewCall(s)
	if err != nil {
		panic(err)
	}
	return c
}

// Guards against calls that wait for slots while more urgent ones are refused, and against calls
// that are refused although they have the higher worth rate, a slot is free, their customer has
// another rank, or no urgent call has come for some time.
func TestLessUrgentCallsDoNotWaitWhileUrgentOnesAreRefused(t *testing.T) {
	is := is.New(t)
	g := admit.New(admit.Options{Slots: 1, Queue: 1, UrgentShare: -1})
	offer := func(at time.Duration, s types.CallSpec) (admit.Ticket, admit.Verdict) {
		return g.Offer(start.Add(at), rankedCall(s))
	}
	urgent, low := types.CallSpec{Worth: 2}, types.CallSpec{Worth: 1, Rank: 1}
	first, _ := offer(0, urgent)
	g.Done(start, first, 10*time.Millisecond, false)
	running, _ := offer(0, urgent)
	offer(0, urgent) // waits
	for range 3 {
		_, v := offer(0, urgent)
		is.Equal(v, admit.Refuse)
	}
	running = g.Done(start, running, 10*time.Millisecond, false)[0].Ticket
	g.Done(start, running, 10*time.Millisecond, false)
	_, v := offer(0, low)
	is.Equal(v, admit.Run)
	refused, v := offer(0, low)
	is.Equal(v, admit.Refuse)
	is.Equal(refused.Reason(), "more urgent calls are refused here")
	for _, s := range []struct {
		at time.Duration
		types.CallSpec
	}{
		{0, types.CallSpec{Worth: 3, Rank: 1}}, {0, types.CallSpec{Worth: 1, Rank: 1, CustomerRank: 1}}, {2 * time.Second, low},
	} {
		waiting, v := offer(s.at, s.CallSpec)
		is.Equal(v, admit.Wait)
		g.Cancel(start, waiting)
	}
}

// Guards against calls that are refused because of an overload of an hour ago, and because of
// urgent calls of customers whose rank is too high to have a share of its own.
func TestOnlyRecentAndComparableSharesCount(t *testing.T) {
	for name, c := range map[string]struct {
		idle        time.Duration
		urgent, low int // ranks of the customers
		want        admit.Verdict
	}{
		"recent":             {0, 6, 6, admit.Refuse},
		"an hour ago":        {time.Hour, 6, 6, admit.Wait},
		"less urgent by far": {0, 9, 7, admit.Wait},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := admit.New(admit.Options{Slots: 1, Queue: 1, UrgentShare: -1})
			offer := func(at time.Time, rank, customerRank int) (admit.Ticket, admit.Verdict) {
				return g.Offer(at, rankedCall(types.CallSpec{Worth: float64(2 - rank), Rank: rank, CustomerRank: customerRank, Deadline: at.Add(time.Minute)}))
			}
			running, _ := offer(start, 0, c.urgent)
			waiting, _ := offer(start, 0, c.urgent)
			for range 50 {
				offer(start, 0, c.urgent)
			}
			g.Cancel(start, waiting)
			g.Done(start, running, 10*time.Millisecond, false)
			now := start.Add(c.idle)
			for _, customerRank := range []int{c.urgent, c.low} { // both are served now
				running, _ = offer(now, 0, customerRank)
				g.Done(now, running, 10*time.Millisecond, false)
			}
			_, v := offer(now, 1, c.low)
			is.Equal(v, admit.Run)
			_, v = offer(now, 1, c.low)
			is.Equal(v, c.want)
		})
	}
}

// Guards against a call that is refused for its goal because of waiting calls that are less
// urgent and would run after it, so that the run that waits for it fails.
func TestBacklogOfLessUrgentCalls(t *testing.T) {
	for rank, want := range []admit.Verdict{admit.Refuse, admit.Wait} {
		is := is.New(t)
		g := admit.New(admit.Options{Slots: 1, UrgentShare: -1})
		offer := func(worth float64, rank int, goal time.Duration) (admit.Ticket, admit.Verdict) {
			return g.Offer(start, rankedCall(types.CallSpec{Worth: worth, Rank: rank, Goal: start.Add(goal)}))
		}
		for _, worth := range []float64{1, 99} {
			ticket, _ := offer(worth, 0, time.Second)
			g.Done(start, ticket, 100*time.Millisecond, false)
		}
		for range 3 {
			offer(1, rank, time.Second)
		}
		_, v := offer(99, 0, 150*time.Millisecond)
		is.Equal(v, want)
	}
}

// Guards against calls of targets that wait for every call of a customer with precedence, and
// against customers whose calls never run because of them.
func TestCallsOfTargetsBesidePrecedence(t *testing.T) {
	for worth, want := range map[float64]string{2: "[a b a b b b b b]", 1: "[a b b b a b b b]"} {
		is := is.New(t)
		g := admit.New(admit.Options{Slots: 1, UrgentShare: -1})
		customer := types.CallSpec{Worth: worth, Customer: "a", CustomerRank: 1}
		expired := customer
		expired.Deadline = start
		for range 20 {
			g.Offer(start, rankedCall(expired))
		}
		running, _ := g.Offer(start, rankedCall(types.CallSpec{Worth: 2}))
		names := make(map[admit.Ticket]string)
		for i := range 8 {
			s, name := types.CallSpec{Worth: 2}, "b"
			if i < 2 {
				s, name = customer, "a"
			}
			ticket, _ := g.Offer(start, rankedCall(s))
			names[ticket] = name
		}
		var order []string
		for range 8 {
			running = g.Done(start, running, time.Millisecond, false)[0].Ticket
			order = append(order, names[running])
		}
		is.Equal(fmt.Sprint(order), want)
	}
}

// Guards against calls of a customer with precedence that are accepted beside calls of targets and
// refused at their deadlines, because fewer starts go to them than the estimate of their wait has.
func TestPrecedenceBesideCallsOfTargetsIsEstimated(t *testing.T) {
	is := is.New(t)
	const service = 100 * time.Millisecond
	g := admit.New(admit.Options{Slots: 1, UrgentShare: -1})
	customer := types.CallSpec{Worth: 1, Customer: "a", CustomerRank: 1, Deadline: start}
	for range 20 {
		g.Offer(start, rankedCall(customer))
	}
	running, _ := g.Offer(start, rankedCall(types.CallSpec{Worth: 2}))
	g.Done(start, running, service, false)
	running, _ = g.Offer(start, rankedCall(types.CallSpec{Worth: 2}))
	for range 12 {
		g.Offer(start, rankedCall(types.CallSpec{Worth: 2}))
	}
	customer.Deadline = start.Add(950 * time.Millisecond)
	accepted := make(map[admit.Ticket]bool)
	for range 4 {
		if ticket, v := g.Offer(start, rankedCall(customer)); v == admit.Wait {
			accepted[ticket] = true
		}
	}
	is.True(len(accepted) > 0)
	for now := start.Add(service); running != (admit.Ticket{}); now = now.Add(service) {
		events := g.Done(now, running, service, false)
		running = admit.Ticket{}
		for _, ev := range events {
			if ev.Verdict == admit.Run {
				running = ev.Ticket
			}
			is.True(ev.Verdict == admit.Run || !accepted[ev.Ticket])
		}
	}
}
