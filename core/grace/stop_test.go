package grace_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/grace"
)

// Guards against requests that are taken though the stop cuts them, and against the
// refusal of requests that can be served.
func TestDeadline(t *testing.T) {
	const usual, end = 3 * time.Second, 5 * time.Second
	for name, c := range map[string]struct {
		now, deadline time.Duration
		want          time.Duration
		ok            bool
	}{
		"early, ends before the stop":    {now: 0, deadline: time.Second, want: time.Second, ok: true},
		"early, ends with the stop":      {now: 0, deadline: end, want: end, ok: true},
		"early, ends after the stop":     {now: time.Second, deadline: end + 1, want: end, ok: true},
		"just early, ends after it":      {now: usual, deadline: time.Minute, want: end, ok: true},
		"late, ends before the stop":     {now: usual + 1, deadline: end - 1, want: end - 1, ok: true},
		"late, ends with the stop":       {now: end - 1, deadline: end, want: end, ok: true},
		"just late, ends after the stop": {now: usual + 1, deadline: end + 1, want: end, ok: false},
		"after the stop":                 {now: end + 1, deadline: end + 2, want: end, ok: false},
		"after the stop, expired":        {now: end + 1, deadline: end, want: end, ok: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			began := time.Unix(1000, 0)
			s := grace.New(began, grace.Options{Usual: usual, Length: end})
			got, ok := s.Deadline(began.Add(c.now), began.Add(c.deadline))
			is.Equal(got, began.Add(c.want))
			is.Equal(ok, c.ok)
		})
	}
}

// Guards against callers that are told to come again before the stop is over, or at once.
func TestLeft(t *testing.T) {
	is := is.New(t)
	began := time.Unix(1000, 0)
	s := grace.New(began, grace.Options{Usual: time.Second, Length: 5 * time.Second})
	is.Equal(s.Left(began.Add(2*time.Second)), 3*time.Second)
	is.Equal(s.Left(began.Add(6*time.Second)), time.Duration(0))
}
