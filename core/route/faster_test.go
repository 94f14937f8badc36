package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/route"
	"trefoilthread/core/types"
)

// Guards against second attempts at a service near its saturation, whose load the reports of
// its targets and the calls of this daemon show.
func TestLoad(t *testing.T) {
	is := is.New(t)
	p := newPicker(nil, route.Options{})
	is.Equal(p.Load(start), 1.0)
	list := targets(3, "a")
	p = newPicker(list, route.Options{})
	is.Equal(p.Load(start), 0.0)
	for range 9 {
		p.Start(start, list[0].ID())
	}
	is.Equal(p.Load(start), 0.25) // 9 of 36 slots
	for _, x := range list {
		for range 30 { // the average of the others' calls as well
			completeCall(p, start, x.ID(), withReport(types.ReportSpec{InFlight: 18, Limit: 9, Incarnation: 1}))
		}
	}
	is.True(p.Load(start) > 1.5) // with calls that wait
	is.True(p.Load(start.Add(2*time.Second)) > 1)
}

// Guards against a second attempt at the target of the first one, at one that is down, or at
// one that is slower than the first.
func TestPickFaster(t *testing.T) {
	is := is.New(t)
	p, list := warmedPicker(4)
	first := list[0].ID()
	p.Start(start, first)
	x, isFaster := p.PickFaster(start, []types.TargetID{first}, 0)
	is.True(isFaster)
	is.True(x.ID() != first)
	for _, other := range list[1:3] {
		for range 20 {
			completeCall(p, start, other.ID(), route.Result{Latency: ms(500)})
		}
	}
	x, isFaster = p.PickFaster(start, []types.TargetID{first}, 0)
	is.True(isFaster)
	is.Equal(x.ID(), list[3].ID())
	_, isFaster = p.PickFaster(start, []types.TargetID{list[3].ID(), first}, 0)
	is.True(!isFaster) // the others are slower
	_, isFaster = p.PickFaster(start, []types.TargetID{"t0", "t1", "t2", "t3"}, 0)
	is.True(!isFaster)
}
