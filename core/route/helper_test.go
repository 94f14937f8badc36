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

func newPicker(list []types.Target, o route.Options) *route.Picker {
	p := route.New(o)
	p.Update(start, list)
	return p
}

// completeCall records a call that ended at now with the given result and latency.
func completeCall(p *route.Picker, now time.Time, id types.TargetID, r route.Result) {
	p.Finish(now, p.Start(now.Add(-r.Latency), id), r)
}

// countPicks returns how often each target is picked, without starting calls.
func countPicks(p *route.Picker, now time.Time, n int) map[types.TargetID]int {
	got := map[types.TargetID]int{}
	for range n {
		t, _ := p.Pick(now, nil)
		got[t.ID()]++
	}
	return got
}

// warmedPicker returns a Picker of n targets with ten successful calls of 5 ms
// each.
func warmedPicker(n int) (*route.Picker, []types.Target) {
	list := targets(n, "a")
	p := newPicker(list, route.Options{})
	for i := range 10 * n {
		completeCall(p, start, list[i%n].ID(), route.Result{Latency: ms(5)})
	}
	return p, list
}

func status(p *route.Picker, now time.Time, id types.TargetID) route.Status {
	list := p.List(now)
	return list[slices.IndexFunc(list, func(s route.Status) bool { return s.Target().ID() == id })]
}

// withReport returns a success of 5 ms with a load report.
func withReport(s types.ReportSpec) route.Result {
	return route.Result{Latency: ms(5), Report: types.NewReport(s), HasReport: true}
}

// withLoad returns a success of 5 ms with a report of n calls in flight.
func withLoad(n int) route.Result { return withReport(types.ReportSpec{InFlight: n, Incarnation: 1}) }

// startPicked picks a target and starts a call to it.
func startPicked(p *route.Picker, now time.Time) types.Target {
	t, _ := p.Pick(now, nil)
	p.Start(now, t.ID())
	return t
}
