// Package pace follows how long work takes on a target's host, and decides when
// a change is worth telling other daemons.
//
// The load it answers: neighbours on a host that slow its work several times
// over for some hundred milliseconds and then go. A target tells its pace with
// each response; the daemons that call it need to know of a change before their
// next call, and not of each small one.
//
// # Usage
//
//	var t pace.Tracker
//	if t.Observe(now, 2.5) {
//		tell(t.Current())
//	}
//	gate.SetPace(t.Relative())
package pace

import "time"

const (
	// step is the change, as a factor, that is news.
	step = 1.3
	// gap is the shortest time between two pieces of news.
	gap = 20 * time.Millisecond
	// alpha weighs a new pace in the average.
	alpha = 0.02
)

// Tracker follows the pace of one target. Its zero value knows nothing.
type Tracker struct {
	current float64
	usual   float64 // average
	told    float64 // at the last news
	toldAt  time.Time
}

// Observe takes over a pace, 1 as usual, and reports whether it is news. A pace
// of 0 or less is unknown and changes nothing.
func (t *Tracker) Observe(now time.Time, pace float64) bool {
	if pace <= 0 {
		return false
	}
	t.current = pace
	if t.usual == 0 {
		t.usual = pace
	}
	t.usual += (pace - t.usual) * alpha
	isChange := t.told == 0 || pace > t.told*step || pace < t.told/step
	if !isChange || now.Sub(t.toldAt) < gap {
		return false
	}
	t.told, t.toldAt = pace, now
	return true
}

// Current returns the last pace, 0 if unknown.
func (t *Tracker) Current() float64 { return t.current }

// Relative returns the last pace as a multiple of the average, 1 if unknown.
func (t *Tracker) Relative() float64 {
	if t.usual == 0 {
		return 1
	}
	return t.current / t.usual
}
