package pause_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/pause"
)

// Guards against a target without end that gets all calls, against one that a single response shuts
// out, and against a sound one that is shut out for longer than until its next trial call.
func TestPauses(t *testing.T) {
	is := is.New(t)
	var p pause.Tracker
	now := time.Unix(1000, 0)
	for range 9 { // never several in a row
		is.True(!p.RecordTooLong(now, now))
		is.True(!p.RecordTooLong(now, now))
		is.True(!p.RecordComplete())
	}
	early := now
	for i := range 3 {
		is.True(p.Start(now))
		is.Equal(p.RecordTooLong(now, now), i == 2)
	}
	for want := 200 * time.Millisecond; want < time.Minute; want *= 2 {
		length := min(want, 5*time.Second)
		is.Equal(p.Pause(), length)
		is.True(!p.RecordTooLong(now, early.Add(-1))) // ran before the pause
		is.Equal(p.Left(now), length)
		now = now.Add(length - 1)
		is.True(!p.Start(now))
		now = now.Add(1)
		is.True(p.Start(now))
		is.True(!p.Start(now)) // one trial at a time
		now = now.Add(length)  // the first trial has shown nothing, or is slow
		is.True(p.Start(now))
		is.Equal(p.Left(now), length)
		is.True(p.RecordTooLong(now.Add(1), now))
		now = now.Add(1)
	}
	is.True(p.RecordComplete())
	is.True(p.Start(now))
	is.True(p.Start(now))
	is.True(!p.IsPaused())
}
