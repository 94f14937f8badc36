package route_test

import (
	"fmt"
	"time"

	"trefoilthread/core/route"
	"trefoilthread/core/types"
)

// A program updates the picker with the membership, picks a target for each call,
// and records how the call ended.
func ExamplePicker() {
	now := time.Unix(1000, 0)
	p := route.New(route.Options{Self: "vm-1", DataCentre: "muscat-a", Seed: 1})
	p.Update(now, []types.Target{
		types.NewTarget(types.TargetSpec{ID: "vm-2", Service: "care", DataCentre: "muscat-a", Slots: 15, Incarnation: 1}),
		types.NewTarget(types.TargetSpec{
			ID: "vm-3", Service: "care", DataCentre: "muscat-a", Slots: 15, Incarnation: 1, State: types.Draining,
		}),
	})
	t, ok := p.Pick(now, nil)
	fmt.Println(t.ID(), ok)
	tok := p.Start(now, t.ID())
	p.Finish(now.Add(10*time.Millisecond), tok, route.Result{Latency: 10 * time.Millisecond, Outcome: types.Done})
	_, ok = p.Pick(now, []types.TargetID{"vm-2"})
	fmt.Println(ok)
	// Output:
	// vm-2 true
	// false
}
