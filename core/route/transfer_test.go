package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/route"
	"trefoilthread/core/types"
)

// linked returns a target whose VM has a link of the given speed in Mbit/s.
func linked(id types.TargetID, dc types.DataCentre, link float64) types.Target {
	return types.NewTarget(types.TargetSpec{
		ID: id, Service: "bookings", DataCentre: dc, Slots: 12, Incarnation: 1, Link: link,
	})
}

// placeAll places n calls with a body of the given length and leaves them in flight.
func placeAll(p *route.Picker, n, body int) map[types.TargetID]int {
	placed := map[types.TargetID]int{}
	for range n {
		t, _ := p.PickForBody(start, nil, body)
		p.Start(start, t.ID())
		placed[t.ID()]++
	}
	return placed
}

// Guards against uploads that are sent to VMs with slow links, or from one with a slow
// link to others, while there is room elsewhere: on a link of 12 Mbit/s a photograph of
// 60 KB takes 40 ms.
func TestLongBodiesAvoidSlowLinks(t *testing.T) {
	is := is.New(t)
	fast, slow, own := linked("fast", "a", 200), linked("slow", "a", 12), linked("own", "a", 0)
	for _, tc := range []struct {
		link      float64 // of this VM
		near, far types.Target
	}{{200, fast, slow}, {12, own, fast}} {
		list := []types.Target{tc.near, tc.far}
		p := newPicker(list, route.Options{DataCentre: "a", Link: tc.link})
		for i := range 20 {
			completeCall(p, start, list[i%2].ID(), route.Result{Latency: ms(50)})
		}
		placed := placeAll(p, 6, 60<<10)
		is.Equal(placed[tc.far.ID()], 0)
	}
}

// Guards against short calls that are placed by the links.
func TestShortCallsIgnoreLinks(t *testing.T) {
	is := is.New(t)
	list := []types.Target{linked("fast", "a", 200), linked("slow", "a", 12)}
	p := newPicker(list, route.Options{DataCentre: "a", Link: 200})
	for i := range 20 {
		completeCall(p, start, list[i%2].ID(), route.Result{Latency: ms(50)})
	}
	placed := placeAll(p, 40, 0)
	is.Equal(placed["fast"], 20)
	is.Equal(placed["slow"], 20)
}

// Guards against uploads that leave the data centre for a little less queueing: their
// bytes are paid for.
func TestLongBodiesStayNear(t *testing.T) {
	is := is.New(t)
	list := []types.Target{linked("near", "a", 200), linked("far", "b", 200)}
	picker := func() *route.Picker {
		p := newPicker(list, route.Options{DataCentre: "a", Link: 200, Distance: func(from, to types.DataCentre) time.Duration {
			if from == to {
				return 0
			}
			return ms(3)
		}})
		for i := range 20 {
			completeCall(p, start, list[i%2].ID(), route.Result{Latency: ms(50)})
		}
		return p
	}
	short, long := placeAll(picker(), 12, 0), placeAll(picker(), 12, 60<<10)
	is.True(long["near"] > short["near"])
	is.True(long["far"] > 0) // once the queue is long
}

// Guards against uploads to a VM whose link is taken by other bodies, against short calls
// that avoid it, and against a report that counts when those bodies have passed.
func TestLongBodiesAvoidBusyLinks(t *testing.T) {
	is := is.New(t)
	list := []types.Target{linked("free", "a", 12), linked("busy", "a", 12)}
	for _, tc := range []struct {
		after time.Duration // since the report
		body  int
		busy  int // calls of 6 that go to the busy one
	}{{0, 60 << 10, 0}, {0, 1000, 3}, {ms(400), 60 << 10, 3}} {
		p := newPicker(list, route.Options{DataCentre: "a", Link: 200})
		for i := range 20 {
			completeCall(p, start, list[i%2].ID(), route.Result{Latency: ms(50)})
		}
		p.ApplyReport(start, "busy", types.NewReport(types.ReportSpec{Limit: 12, Incarnation: 1, Link: ms(400)}))
		placed := 0
		for range 6 {
			to, _ := p.PickForBody(start.Add(tc.after), nil, tc.body)
			p.Start(start.Add(tc.after), to.ID())
			if to.ID() == "busy" {
				placed++
			}
		}
		is.Equal(placed, tc.busy)
	}
}
