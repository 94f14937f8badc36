package pace_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/pace"
)

// Guards against daemons that learn of a slow host only with its next answer,
// and against a message for each answer.
func TestNews(t *testing.T) {
	is := is.New(t)
	var p pace.Tracker
	now := time.Unix(1000, 0)
	is.True(!p.Observe(now, 0))
	is.Equal(p.Factor(), 1.0)
	is.True(p.IsStale(now)) // nobody has asked yet
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
	is.True(!p.Observe(now.Add(time.Millisecond), 1)) // too soon
	is.True(p.Observe(now.Add(30*time.Millisecond), 1))
	is.Equal(p.Current(), 1.0)
}

// Guards against calls that wait for the end of a slow spell that doesn't come,
// and against none that wait.
func TestRelief(t *testing.T) {
	is := is.New(t)
	var p pace.Tracker
	relief := func(now time.Time) time.Duration {
		after, then := p.ExpectedRecovery(now)
		is.Equal(then, 1.0)
		return after
	}
	now := time.Unix(1000, 0)
	p.Observe(now, 1)
	is.Equal(relief(now), time.Duration(0))
	for range 30 { // spells of 600 ms
		p.Observe(now, 4)
		is.True(relief(now) > 0)
		now = now.Add(600 * time.Millisecond)
		p.Observe(now, 1)
		is.Equal(relief(now), time.Duration(0))
		now = now.Add(time.Second)
	}
	p.Observe(now, 4)
	is.True(relief(now) > 500*time.Millisecond && relief(now) <= 600*time.Millisecond)
	is.True(relief(now.Add(time.Second)) > 0)
	is.Equal(relief(now.Add(3*time.Second)), time.Duration(0))
}

// Guards against a target that has just started and is taken for one in a slow
// spell, whose end calls wait for: after a loss of power of all VMs of
// qattrota-mct-grown nearly all calls were refused for a second, with one place of
// twelve taken. And against calls that start in a spell on top of that.
func TestColdTarget(t *testing.T) {
	is := is.New(t)
	var p pace.Tracker
	now := time.Unix(1000, 0)
	p.SetWarmup(now, 3*time.Second)
	p.Observe(now, 8)
	after, then := p.ExpectedRecovery(now)
	is.True(after > 0 && after < time.Second)
	is.Equal(then, 3.0) // how slow the start makes it isn't known yet
	now = now.Add(100 * time.Millisecond)
	p.Observe(now, 2)
	after, then = p.ExpectedRecovery(now)
	is.Equal(after, 2900*time.Millisecond)
	is.Equal(then, 1.0)
	now = now.Add(1400 * time.Millisecond) // the start alone is no spell, however long
	p.Observe(now, 2)
	p.SetWarmup(now, 1500*time.Millisecond)
	p.Observe(now, 8)
	after, then = p.ExpectedRecovery(now)
	is.True(after < time.Second)
	is.Equal(then, 2.0)
	now = now.Add(1500 * time.Millisecond)
	p.Observe(now, 1)
	after, _ = p.ExpectedRecovery(now)
	is.Equal(after, time.Duration(0))
	p.Observe(now, 2) // a spell as any other
	after, then = p.ExpectedRecovery(now)
	is.True(after > 0)
	is.Equal(then, 1.0)
}
