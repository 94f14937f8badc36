package route_test

import (
	"testing"

	"github.com/matryer/is"

	"trefoilthread/core/route"
	"trefoilthread/core/types"
)

// Guards against a cold target that attracts calls with its empty slots, against calls that
// go where none can start now, and against a limit that outlasts the cold time.
func TestColdTargetGetsItsPart(t *testing.T) {
	const missed = 2 // a sample misses one of two targets in 1 of 128 picks
	is := is.New(t)
	p, list := warmedPicker(2)
	coldOne, busy := list[0].ID(), list[1].ID()
	report := func(id types.TargetID, inFlight int, rate float64, startIn int) {
		p.ApplyReport(start, id, types.NewReport(types.ReportSpec{
			Incarnation: 1, InFlight: inFlight, Limit: 9, Rate: rate, RateLasts: ms(3000), StartIn: ms(startIn),
		}))
	}
	picks := func(later int) int { return countPicks(p, start.Add(ms(later)), 50)[coldOne] }
	report(busy, 5, 0, 0)
	report(coldOne, 0, 13, 0)
	is.True(picks(0) <= missed) // 13 calls/s of 5 ms need less than a tenth of a slot
	is.True(picks(3000) > 0)
	report(coldOne, 0, 1000, 0)
	is.True(picks(0) >= 50-missed)
	report(coldOne, 0, 1000, 400)
	is.True(picks(0) <= missed)
	report(coldOne, 0, 1000, 0)
	for range 20 { // calls of this daemon use up what the report has seen as free
		p.Finish(start, p.Start(start, coldOne), route.Result{Outcome: types.Canceled})
	}
	is.True(picks(0) <= missed)
	report(coldOne, 0, 0, 0)
	is.True(picks(0) >= 50-missed)
}
