package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/route"
	"trefoilthread/core/types"
)

// Guards against calls to targets that take none, to targets whose drain is
// known only from a report, and against a second attempt at the same target.
func TestPickOnlyUsableTargets(t *testing.T) {
	for _, name := range route.PolicyNames() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			policy, _ := route.ParsePolicy(name)
			p := route.New(route.Options{Policy: policy})
			_, ok := p.Pick(start, nil)
			is.True(!ok)
			list := targets(5, "a")
			list[0] = list[0].WithState(types.Draining)
			list[1] = list[1].WithState(types.Down)
			p.Update(start, list)
			is.Equal(p.Len(), 5)
			report := types.NewReport(types.ReportSpec{Draining: true, Incarnation: 1})
			call(p, start, "t2", route.Result{Latency: ms(5), Report: report, HasReport: true})
			p.Update(start, list) // the membership doesn't show the drain yet
			is.Equal(len(count(p, start, 200)), 2)
			for range 50 {
				got, ok := p.Pick(start, []types.TargetID{"t3"})
				is.True(ok)
				is.Equal(got.ID(), types.TargetID("t4"))
			}
			_, ok = p.Pick(start, []types.TargetID{"t3", "t4"})
			is.True(!ok)
			list[2] = list[2].WithState(types.Up) // a newer state ends the drain
			p.Update(start, list)
			is.Equal(len(count(p, start.Add(10*time.Second), 200)), 3)
		})
	}
}

// Guards against calls that leave the data centre while it has capacity, and
// against queueing there while others are idle.
func TestNearDataCentreUntilQueueingOutweighs(t *testing.T) {
	is := is.New(t)
	list := append(targets(3, "a"), target(3, "b"), target(4, "b"), target(5, "b"))
	p := route.New(route.Options{DataCentre: "a", Distance: func(from, to types.DataCentre) time.Duration {
		if from == to {
			return 0
		}
		return 1500 * time.Microsecond
	}})
	p.Update(start, list)
	for i := range 60 {
		// Calls to the other data centre take two ways of 1.5 ms more.
		call(p, start, list[i%6].ID(), route.Result{Latency: ms(5 + i%6/3*3)})
	}
	got := count(p, start, 300)
	is.Equal(got["t3"]+got["t4"]+got["t5"], 0)
	placed := map[types.DataCentre]int{}
	for range 24 {
		x, _ := p.Pick(start, nil)
		p.Start(start, x.ID())
		placed[x.DataCentre()]++
	}
	// 1.5 ms of 5 ms on 12 slots is a lead of 3.6 calls for each near target.
	is.True(placed["a"] > placed["b"] && placed["b"] >= 4)
}

// Guards against herding: daemons that hold the same report of one idle and
// many busy targets must not all pick the idle one.
func TestNoHerdingOnOneReport(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{3, 9, 50} {
		list := targets(n, "a")
		got := map[types.TargetID]int{}
		for i := range 200 {
			p := route.New(route.Options{Self: target(i, "a").ID()})
			p.Update(start, list)
			for k, x := range list {
				call(p, start, x.ID(), loaded(10*min(k, 1)))
			}
			x, _ := p.Pick(start, nil)
			got[x.ID()]++
		}
		// 2 of 3, 3 of 9 and 3 of 50 daemons see the idle target, with a
		// margin of three standard deviations.
		is.True(got["t0"] <= map[int]int{3: 154, 9: 87, 50: 23}[n])
		is.True(got["t0"] >= 200/n) // and it gets more than its share
	}
}

// Guards against a report that keeps its weight: after a half-life half of its
// difference from the average is left, and later none.
func TestReportFadesToAverage(t *testing.T) {
	is := is.New(t)
	p, _ := warmed(2)
	for range 200 {
		call(p, start, "t0", loaded(2))
		call(p, start, "t1", loaded(10))
	}
	others := func(d time.Duration) float64 { return status(p, start.Add(d), "t1").Others() }
	mean := others(time.Hour)
	is.True(mean > 5 && mean < 7)
	is.Equal(others(0), 10.0)
	is.Equal(others(ms(50)), mean+(10-mean)/2)
	is.Equal(others(ms(100)), mean+(10-mean)/4)
}

// Guards against a straggler that each of many daemons has to find by itself,
// and against an old report that keeps calls away from it.
func TestReportedLatencyCounts(t *testing.T) {
	is := is.New(t)
	p, _ := warmed(3)
	r := types.NewReport(types.ReportSpec{Incarnation: 1, Latency: ms(45)})
	call(p, start, "t0", route.Result{Latency: ms(5), Report: r, HasReport: true})
	is.Equal(status(p, start, "t0").Latency(), ms(45))
	is.Equal(status(p, start.Add(time.Second), "t0").Latency(), ms(25))
	is.Equal(status(p, start.Add(time.Minute), "t0").Latency(), ms(5))
}

// Guards against a decision that allocates, which costs garbage collection on
// the path of each call.
func TestPickDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	p, _ := warmed(200)
	tried := []types.TargetID{"t1", "t2"}
	is.Equal(testing.AllocsPerRun(1000, func() {
		x, _ := p.Pick(start, tried)
		p.Finish(start, p.Start(start, x.ID()), route.Result{Latency: ms(5)})
	}), 0.0)
}

// Guards against baselines that aren't what they are called.
func TestBaselines(t *testing.T) {
	is := is.New(t)
	for _, policy := range []route.Policy{route.Random, route.RoundRobin} {
		p := route.New(route.Options{Policy: policy})
		p.Update(start, targets(4, "a"))
		for _, n := range count(p, start, 4000) {
			is.True(n > 900 && n < 1100)
		}
	}
	p := route.New(route.Options{Policy: route.LeastOutstanding})
	p.Update(start, targets(4, "a"))
	for i := range 8 {
		x, _ := p.Pick(start, nil)
		p.Start(start, x.ID())
		is.Equal(status(p, start, x.ID()).InFlight(), 1+i/4)
	}
}
