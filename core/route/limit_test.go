package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/types"
)

// Guards against a target that is never chosen again after it has reported a low limit,
// and so can't report the end of it.
func TestOldLimitIsIgnored(t *testing.T) {
	is := is.New(t)
	p, list := warmedPicker(2)
	limited, other := list[0].ID(), list[1].ID()
	score := func(now time.Time) map[types.TargetID]time.Duration {
		scores := make(map[types.TargetID]time.Duration)
		for _, s := range p.List(now) {
			scores[s.Target().ID()] = s.Score()
		}
		return scores
	}
	p.ApplyReport(start, limited, types.NewReport(types.ReportSpec{Incarnation: 1, Limit: 1}))
	p.ApplyReport(start, other, types.NewReport(types.ReportSpec{Incarnation: 1, Limit: 12}))
	soon, later := score(start.Add(ms(500))), score(start.Add(ms(1500)))
	is.True(soon[limited] > soon[other])
	is.Equal(later[limited], later[other])
}
