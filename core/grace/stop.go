package grace

import "time"

// Options are the times of a stop from its beginning.
type Options struct {
	Usual  time.Duration // all requests are taken
	Length time.Duration // until then all requests have to be answered
}

// Stop is a planned stop that has begun.
type Stop struct {
	usual time.Time // all requests are taken until then
	end   time.Time // all requests end by then
}

// New returns a stop that begins now.
func New(now time.Time, o Options) *Stop {
	return &Stop{usual: now.Add(o.Usual), end: now.Add(o.Length)}
}

// Deadline returns the deadline that applies to a request, which is never after the end
// of the stop, and false if the request has to be refused.
func (s *Stop) Deadline(now, deadline time.Time) (time.Time, bool) {
	if !deadline.After(s.end) {
		return deadline, true
	}
	return s.end, !now.After(s.usual)
}

// Left returns the time until the end of the stop, 0 after it.
func (s *Stop) Left(now time.Time) time.Duration { return max(0, s.end.Sub(now)) }
