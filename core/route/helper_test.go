package route_test

import (
	"fmt"
	"slices"
	"time"

	"trefoilthread/core/route"
	"trefoilthread/core/types"
)

var start = time.Unix(1000, 0)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func target(i int, dc types.DataCentre) types.Target {
	return types.NewTarget(types.TargetSpec{
		ID: types.TargetID(fmt.Sprintf("t%d", i)), Service: "bookings", DataCentre: dc,
		Slots: 12, Incarnation: 1,
	})
}

func targets(n int, dc types.DataCentre) []types.Target {
	list := make([]types.Target, n)
	for i := range list {
		list[i] = target(i, dc)
	}
	return list
}

// call makes a call that ends at once with the given result and latency.
func call(p *route.Picker, now time.Time, id types.TargetID, r route.Result) {
	tok := p.Start(now.Add(-r.Latency), id)
	p.Finish(now, tok, r)
}

// count returns how often each target is picked, without starting calls.
func count(p *route.Picker, now time.Time, n int) map[types.TargetID]int {
	got := map[types.TargetID]int{}
	for range n {
		if t, ok := p.Pick(now, nil); ok {
			got[t.ID()]++
		}
	}
	return got
}

// warmed returns a Picker of n targets that each had ten good calls of 5 ms.
func warmed(n int) (*route.Picker, []types.Target) {
	p, list := route.New(route.Options{}), targets(n, "a")
	p.Update(start, list)
	for i := range 10 * n {
		call(p, start, list[i%n].ID(), route.Result{Latency: ms(5)})
	}
	return p, list
}

func status(p *route.Picker, now time.Time, id types.TargetID) route.Status {
	list := p.List(now)
	return list[slices.IndexFunc(list, func(s route.Status) bool { return s.Target().ID() == id })]
}

// loaded returns a result of 5 ms with a report of n calls in flight.
func loaded(n int) route.Result {
	r := types.NewReport(types.ReportSpec{InFlight: n, Incarnation: 1})
	return route.Result{Latency: ms(5), Report: r, HasReport: true}
}
