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
			completeCall(p, start, "t2", withReport(types.ReportSpec{Draining: true, Incarnation: 1}))
			p.Update(start, list) // the membership doesn't show the drain yet
			is.Equal(len(countPicks(p, start, 200)), 2)
			for range 50 {
				got, ok := p.Pick(start, []types.TargetID{"t3"})
				is.True(ok && got.ID() == "t4")
			}
			_, ok = p.Pick(start, []types.TargetID{"t3", "t4"})
			is.True(!ok)
			list[2] = list[2].WithState(types.Up) // a newer state ends the drain
			p.Update(start, list)
			is.Equal(len(countPicks(p, start.Add(10*time.Second), 200)), 3)
		})
	}
}

// Guards against calls that leave the data centre while it has capacity, and
// against queueing there while others are idle.
func TestNearDataCentreUntilQueueingOutweighs(t *testing.T) {
	is := is.New(t)
	list := append(targets(3, "a"), target(3, "b"), target(4, "b"), target(5, "b")) // 1.5 ms away
	p := newPicker(list, route.Options{DataCentre: "a", Distance: func(from, to types.DataCentre) time.Duration {
		return time.Duration(from[0]^to[0]) * ms(1) / 2 // a^b is 3
	}})
	for i := range 60 { // calls to the other data centre take a round trip longer
		completeCall(p, start, list[i%6].ID(), route.Result{Latency: ms(5 + i%6/3*3)})
	}
	got := countPicks(p, start, 300)
	is.Equal(got["t3"]+got["t4"]+got["t5"], 0)
	placed := map[types.DataCentre]int{}
	for range 24 {
		placed[startPicked(p, start).DataCentre()]++
	}
	// 1.5 ms of 5 ms on 12 slots is a lead of 3.6 calls for each near target.
	is.True(placed["a"] > placed["b"] && placed["b"] >= 4)
}

// Guards against calls that go to other regions, or stay in a queue, because a
// sample of all other data centres misses the few targets of the own region.
func TestOverflowStaysInRegion(t *testing.T) {
	is := is.New(t)
	list := append(targets(20, "remote"), target(20, "own"), target(21, "twin"), target(22, "twin"))
	p := newPicker(list, route.Options{DataCentre: "own", Distance: func(_, to types.DataCentre) time.Duration {
		return map[types.DataCentre]time.Duration{"twin": ms(1), "remote": ms(80)}[to]
	}})
	is.Equal(countPicks(p, start, 100)["t20"], 100)
	placed := map[types.DataCentre]int{}
	for range 300 {
		placed[startPicked(p, start).DataCentre()]++
	}
	is.Equal(placed["remote"], 0)
	is.True(placed["own"] < 110 && placed["twin"] > 190)
}

// Guards against herding: daemons that hold the same report of one idle and
// many busy targets must not all pick the idle one.
func TestNoHerdingOnOneReport(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{3, 9, 50} {
		list := targets(n, "a")
		got := map[types.TargetID]int{}
		for i := range 200 {
			p := newPicker(list, route.Options{Self: target(i, "a").ID()})
			for k, x := range list {
				completeCall(p, start, x.ID(), withLoad(10*min(k, 1)))
			}
			x, _ := p.Pick(start, nil)
			got[x.ID()]++
		}
		// 2 of 3, 3 of 9 and 3 of 50 daemons see the idle target, with a
		// margin of three standard deviations.
		is.True(got["t0"] >= 200/n && got["t0"] <= map[int]int{3: 154, 9: 87, 50: 23}[n])
	}
}

// Guards against a report that keeps its weight: after a half-life, half of its
// difference from the average is left, and in the end none.
func TestReportFades(t *testing.T) {
	is := is.New(t)
	p, _ := warmedPicker(2)
	for range 200 {
		completeCall(p, start, "t0", withLoad(2))
		completeCall(p, start, "t1", withLoad(10))
	}
	others := func(d time.Duration) float64 { return status(p, start.Add(d), "t1").OtherCalls() }
	mean := others(time.Hour)
	is.True(mean > 5 && mean < 7)
	is.Equal(others(0), 10.0)
	is.Equal(others(ms(50)), mean+(10-mean)/2)
	is.Equal(others(ms(100)), mean+(10-mean)/4)
	// A long reported latency counts at once, but not for ever.
	completeCall(p, start, "t0", withReport(types.ReportSpec{Incarnation: 1, Latency: ms(45)}))
	is.Equal(status(p, start, "t0").Latency(), ms(45))
	is.Equal(status(p, start.Add(time.Second), "t0").Latency(), ms(25))
	is.Equal(status(p, start.Add(time.Minute), "t0").Latency(), ms(5))
	p.Start(start, "t0")
	completeCall(p, start, "t0", withLoad(1)) // the reported call is from this daemon
	is.Equal(status(p, start, "t0").OtherCalls(), 0.0)
}

// Guards against a report of long calls that loses its weight before any of them has ended,
// and against one that all callers get at the same moment and all place calls by.
func TestReportFadesWithTheCalls(t *testing.T) {
	is := is.New(t)
	for latency, halfLife := range map[time.Duration]time.Duration{ms(5): ms(50), ms(200): ms(800), ms(900): time.Second} {
		p := newPicker(targets(2, "a"), route.Options{})
		r := withLoad(9)
		r.Latency = latency
		completeCall(p, start, "t0", route.Result{Latency: latency, HasReport: true})
		completeCall(p, start, "t1", r)
		others := func(d time.Duration) float64 { return status(p, start.Add(d), "t1").OtherCalls() }
		mean := others(time.Hour)
		is.Equal(others(halfLife), mean+(9-mean)/2)
		p.ApplyReport(start, "t1", withLoad(0).Report)
		is.Equal(others(halfLife), mean+(9-mean)/2)
	}
}

// Guards against a decision that allocates, which costs garbage collection on
// the path of each call.
func TestPickDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	p, _ := warmedPicker(200)
	is.Equal(testing.AllocsPerRun(1000, func() {
		x, _ := p.Pick(start, []types.TargetID{"t1", "t2"})
		p.Finish(start, p.Start(start, x.ID()), route.Result{Latency: ms(5)})
	}), 0.0)
}

// Guards against baseline policies that don't select as their names say.
func TestBaselines(t *testing.T) {
	is := is.New(t)
	for _, policy := range []route.Policy{route.Random, route.RoundRobin} {
		p := newPicker(targets(4, "a"), route.Options{Policy: policy})
		for _, n := range countPicks(p, start, 4000) {
			is.True(n > 900 && n < 1100)
		}
	}
	p := newPicker(targets(4, "a"), route.Options{Policy: route.LeastOutstanding})
	for i := range 8 {
		is.Equal(status(p, start, startPicked(p, start).ID()).InFlight(), 1+i/4)
	}
}

// Guards against a near target that is never called after it came back into
// service: a slow first call to a far target dominated the service's average, which
// is the expected latency of targets without calls, so that each of 28 successive
// calls went to the far target.
func TestTargetWithoutCallsIsTried(t *testing.T) {
	is := is.New(t)
	near, far := target(0, "a"), target(1, "b")
	p := newPicker([]types.Target{near.WithState(types.Draining), far}, route.Options{
		DataCentre: "a",
		Distance: func(from, to types.DataCentre) time.Duration {
			if from == to {
				return 0
			}
			return 10 * time.Microsecond
		},
	})
	completeCall(p, start, far.ID(), route.Result{Latency: ms(60)})
	completeCall(p, start, far.ID(), route.Result{Latency: ms(14)})
	p.Update(start, []types.Target{near.WithState(types.Draining).WithState(types.Up), far})
	now, got := start, types.TargetID("")
	for i := 0; i < 20 && got != near.ID(); i++ {
		now = now.Add(time.Second)
		picked, ok := p.Pick(now, nil)
		is.True(ok)
		got = picked.ID()
		completeCall(p, now, got, route.Result{Latency: ms(14)})
	}
	is.Equal(got, near.ID())
}
