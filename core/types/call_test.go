package types_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/types"
)

// Guards against calls without an id, a service or a deadline, and against call
// loops that no hop ends.
func TestNewCallRefusesIncompleteCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	good := types.CallSpec{ID: "a", Service: "bookings", Deadline: now, Depth: types.MaxDepth}
	for name, change := range map[string]func(*types.CallSpec){
		"no id":       func(s *types.CallSpec) { s.ID = "" },
		"no service":  func(s *types.CallSpec) { s.Service = "" },
		"no deadline": func(s *types.CallSpec) { s.Deadline = time.Time{} },
		"too deep":    func(s *types.CallSpec) { s.Depth = types.MaxDepth + 1 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := types.NewCall(good)
			is.NoErr(err)
			bad := good
			change(&bad)
			_, err = types.NewCall(bad)
			is.True(err != nil)
		})
	}
}

// Guards against a late message about an earlier incarnation that replaces the
// state of the current one.
func TestTargetNewer(t *testing.T) {
	is := is.New(t)
	old := types.NewTarget(types.TargetSpec{ID: "t", Incarnation: 1, Sequence: 9})
	cur := types.NewTarget(types.TargetSpec{ID: "t", Incarnation: 2})
	is.True(cur.Newer(old))
	is.True(!old.Newer(cur))
	is.True(cur.WithState(types.Draining).Newer(cur))
	is.True(!cur.Newer(cur))
}
