package pause

import "time"

const (
	// minInARow is the number of responses in a row that are too long before a pause. A
	// single one may be due to one request.
	minInARow = 3
	// minPause is the length of the first pause, maxPause that of the longest. A response of 32 MB
	// takes about 10 ms of processor time, and a health check before the trial call may take as
	// much. Both in 5 s are 3 % of what a VM with 0.16 of a core has.
	minPause = 200 * time.Millisecond
	maxPause = 5 * time.Second
)

// Tracker tracks the responses of one target. The zero value is ready for use, without a pause.
type Tracker struct {
	inARow    int           // responses since the last sound one that were too long
	pause     time.Duration // length of the present pause, 0 for none
	pausedAt  time.Time     // when the present pause got its length
	nextStart time.Time     // no call starts before that
}

// IsPaused reports whether only trial calls may start.
func (t *Tracker) IsPaused() bool { return t.pause > 0 }

// Left returns the time until a call may start, 0 if one may start now.
func (t *Tracker) Left(now time.Time) time.Duration {
	if !t.IsPaused() {
		return 0
	}
	return max(0, t.nextStart.Sub(now))
}

// Start reports whether a call may start now. In a pause it then reserves the trial call: no other
// one starts for the length of the pause.
func (t *Tracker) Start(now time.Time) bool {
	if t.Left(now) > 0 {
		return false
	}
	t.nextStart = now.Add(t.pause)
	return true
}

// RecordTooLong records that the response to a call was too long, and reports whether that began or
// prolonged a pause.
func (t *Tracker) RecordTooLong(now, started time.Time) bool {
	t.inARow++
	switch {
	case t.inARow < minInARow, t.IsPaused() && started.Before(t.pausedAt):
		return false
	case t.IsPaused():
		t.pause = min(2*t.pause, maxPause)
	default:
		t.pause = minPause
	}
	t.pausedAt, t.nextStart = now, now.Add(t.pause)
	return true
}

// RecordComplete records a response that is complete and within the bounds, and reports whether it
// ended a pause.
func (t *Tracker) RecordComplete() bool {
	ended := t.IsPaused()
	*t = Tracker{}
	return ended
}

// Pause returns the length of the present pause, 0 for none.
func (t *Tracker) Pause() time.Duration { return t.pause }

// InARow returns the number of responses since the last sound one that were too long.
func (t *Tracker) InARow() int { return t.inARow }
