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
	now := time.Unix(1000, 0)
	p.Observe(now, 1)
	is.Equal(p.Relief(now), time.Duration(0))
	for range 30 { // spells of 600 ms
		p.Observe(now, 4)
		is.True(p.Relief(now) > 0)
		now = now.Add(600 * time.Millisecond)
		p.Observe(now, 1)
		is.Equal(p.Relief(now), time.Duration(0))
		now = now.Add(time.Second)
	}
	p.Observe(now, 4)
	is.True(p.Relief(now) > 500*time.Millisecond && p.Relief(now) <= 600*time.Millisecond)
	is.True(p.Relief(now.Add(time.Second)) > 0)
	is.Equal(p.Relief(now.Add(3*time.Second)), time.Duration(0))
}
