package drain_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"trefoilthread/core/drain"
	"trefoilthread/core/types"
)

// Guards against calls to targets of a drained data centre, against a drain that outlasts its
// end, and against a shortage of slots that nobody is told of.
func TestDrains(t *testing.T) {
	var list []types.Target
	for i, dc := range []types.DataCentre{"east", "east", "west"} {
		list = append(list, types.NewTarget(types.TargetSpec{
			ID: types.TargetID(fmt.Sprint(i)), Service: "scan", DataCentre: dc, Slots: 12,
		}))
	}
	for _, tc := range []struct {
		drained []types.DataCentre
		ended   types.DataCentre
		inUse   float64
		want    drain.Left
		isShort bool
	}{
		{nil, "", 30, drain.Left{Targets: 3, Slots: 36}, false},
		{[]types.DataCentre{"east"}, "", 12, drain.Left{Targets: 1, Slots: 12, Drained: 2}, false},
		{[]types.DataCentre{"east"}, "", 12.5, drain.Left{Targets: 1, Slots: 12, Drained: 2}, true},
		{[]types.DataCentre{"east", "west"}, "", 1, drain.Left{Drained: 3}, true},
		{[]types.DataCentre{"east", "west"}, "east", 20, drain.Left{Targets: 2, Slots: 24, Drained: 1}, false},
	} {
		is := is.New(t)
		s := drain.New()
		for _, dc := range tc.drained {
			s.Set(dc, true)
		}
		s.Set(tc.ended, false)
		left := s.Left(list, map[types.ServiceName]float64{"scan": tc.inUse})
		tc.want.Service, tc.want.InUse = "scan", tc.inUse
		is.Equal(left, []drain.Left{tc.want})
		is.Equal(left[0].IsShort(), tc.isShort)
		is.Equal(len(s.Filter(append([]types.Target(nil), list...))), tc.want.Targets)
	}
}
