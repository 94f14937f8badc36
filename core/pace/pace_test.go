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
