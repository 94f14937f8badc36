package pace_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/pace"
)

// Guards against daemons that learn of a slow host only from its next response, and
// against a report to them for each response.
func TestObserveReportsChanges(t *testing.T) {
	is := is.New(t)
	var p pace.Tracker
	now := time.Unix(1000, 0)
	is.True(!p.Observe(now, 0))
	is.Equal(p.Factor(), 1.0)
	is.True(p.IsStale(now)) // the target hasn't been asked yet
	p.ObserveNone()
	is.True(!p.IsStale(now))
	is.True(p.Observe(now, 1))
	for i := range 100 {
		now = now.Add(10 * time.Millisecond)
		is.True(!p.Observe(now, 1+float64(i%3)/10))
	}
	is.True(p.Observe(now, 4))
	is.Equal(p.Factor(), 4.0)
	is.True(!p.IsStale(now.Add(10 * time.Millisecond)))
	is.True(p.IsStale(now.Add(20 * time.Millisecond)))
	is.True(!p.Observe(now.Add(time.Millisecond), 1)) // too soon after the last report
	is.True(p.Observe(now.Add(30*time.Millisecond), 1))
	is.Equal(p.Current(), 1.0)
}

// Guards against calls that wait for the end of a slow period on a host that stays slow,
// and against calls that don't wait for the end of an ordinary one.
func TestExpectedRecovery(t *testing.T) {
	is := is.New(t)
	var p pace.Tracker
	recovery := func(now time.Time) time.Duration {
		after, next := p.ExpectedRecovery(now)
		is.Equal(next, 1.0)
		return after
	}
	now := time.Unix(1000, 0)
	p.Observe(now, 1)
	is.Equal(recovery(now), time.Duration(0))
	for range 30 { // slow periods of 600 ms
		p.Observe(now, 4)
		is.True(recovery(now) > 0)
		now = now.Add(600 * time.Millisecond)
		p.Observe(now, 1)
		is.Equal(recovery(now), time.Duration(0))
		now = now.Add(time.Second)
	}
	p.Observe(now, 4)
	is.True(recovery(now) > 500*time.Millisecond && recovery(now) <= 600*time.Millisecond)
	is.True(recovery(now.Add(time.Second)) > 0)
	is.Equal(recovery(now.Add(3*time.Second)), time.Duration(0))
}

// Guards against a warm-up that is mistaken for a slow period, whose end calls wait for:
// after all VMs of qattrota-mct-grown lost power, nearly all calls were refused for a
// second, with one slot of twelve in use. Also guards against calls that start in a slow
// period during the warm-up.
func TestColdTarget(t *testing.T) {
	is := is.New(t)
	var p pace.Tracker
	now := time.Unix(1000, 0)
	p.SetWarmup(now, 3*time.Second)
	p.Observe(now, 8)
	after, next := p.ExpectedRecovery(now)
	is.True(after > 0 && after < time.Second)
	is.Equal(next, 3.0) // the pace of the warm-up alone isn't known yet
	now = now.Add(100 * time.Millisecond)
	p.Observe(now, 2)
	after, next = p.ExpectedRecovery(now)
	is.Equal(after, 2900*time.Millisecond)
	is.Equal(next, 1.0)
	now = now.Add(1400 * time.Millisecond) // the warm-up alone is no slow period, however long
	p.Observe(now, 2)
	p.SetWarmup(now, 1500*time.Millisecond)
	p.Observe(now, 8)
	after, next = p.ExpectedRecovery(now)
	is.True(after < time.Second)
	is.Equal(next, 2.0)
	now = now.Add(1500 * time.Millisecond)
	p.Observe(now, 1)
	after, _ = p.ExpectedRecovery(now)
	is.Equal(after, time.Duration(0))
	p.Observe(now, 2) // after the warm-up, a slow period like any other
	after, next = p.ExpectedRecovery(now)
	is.True(after > 0)
	is.Equal(next, 1.0)
}
