package route_test

import (
	"fmt"
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

// warm gives each target ten good calls of 5 ms.
func warm(p *route.Picker, now time.Time, list []types.Target) {
	for range 10 {
		for _, t := range list {
			call(p, now, t.ID(), route.Result{Latency: ms(5)})
		}
	}
}

func status(p *route.Picker, now time.Time, id types.TargetID) route.Status {
	for _, s := range p.List(now) {
		if s.Target().ID() == id {
			return s
		}
	}
	return route.Status{}
}
