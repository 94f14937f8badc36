// Package pace follows how long work takes on a target's host, and decides when
// a change is worth telling other daemons.
//
// The load it answers: neighbours on a host that slow its work several times
// over for some hundred milliseconds and then go. A target tells its pace with
// each response; the daemons that call it need to know of a change before their
// next call, and not of each small one. A call keeps the pace that its host had
// when it started, so the host's daemon asks for it just before.
//
// A target that has just started is slow for some seconds and says for how long.
// That is no spell to wait for; one that comes on top of it is.
//
// # Usage
//
//	var t pace.Tracker
//	if t.Observe(now, 2.5) {
//		tell(t.Current())
//	}
//	relief, then := t.ExpectedRecovery(now)
//	gate.SetPace(t.Factor(), relief, then)
package pace

import "time"

const (
	// step is the change, as a factor, that is news.
	step = 1.3
	// gap is the shortest time between two pieces of news.
	gap = 20 * time.Millisecond
	// fresh is the age up to which a pace is taken for the present one. Spells
	// last some hundred milliseconds, so one in twenty ends in this time.
	fresh = 15 * time.Millisecond
	// slow is the pace from which on a host counts as slow, as a multiple of that
	// without a spell.
	slow = 1.5
	// mostCold is the slowest pace that a start alone is taken to explain before a
	// lower one has been seen.
	mostCold = 3
	// usualSpell is the expected time of a slow spell before any has ended.
	usualSpell = 300 * time.Millisecond
	// spellAlpha weighs a new spell in the average.
	spellAlpha = 0.2
	// maxSpells is the multiple of the average after which a spell isn't one: the
	// host stays slow.
	maxSpells = 3
)

// Tracker follows the pace of one target. Its zero value knows nothing.
type Tracker struct {
	current float64
	seenAt  time.Time
	none    bool    // the target tells no pace
	told    float64 // at the last news
	toldAt  time.Time
	slowAt  time.Time     // start of the present slow spell, zero for none
	spell   time.Duration // average time of slow spells

	coldTill time.Time // the target is slow after its start until then
	lowest   float64   // pace seen since it said so, 0 for none
}

// SetWarmup notes how much longer the target says that it stays slow after its
// start.
func (t *Tracker) SetWarmup(now time.Time, left time.Duration) {
	if !now.Before(t.coldTill) {
		t.lowest = 0
	}
	t.coldTill = now.Add(left)
}

// base returns the pace without a slow spell.
func (t *Tracker) base(now time.Time) float64 {
	switch {
	case !now.Before(t.coldTill):
		return 1
	case t.lowest == 0:
		return mostCold
	}
	return min(max(t.lowest, 1), mostCold)
}

// Observe takes over a pace, 1 as usual, and reports whether it is news. A pace
// of 0 or less is unknown and changes nothing.
func (t *Tracker) Observe(now time.Time, pace float64) bool {
	if pace <= 0 {
		return false
	}
	t.current, t.seenAt, t.none = pace, now, false
	if t.lowest == 0 || pace < t.lowest {
		t.lowest = pace
	}
	t.noteSpell(now)
	isChange := t.told == 0 || pace > t.told*step || pace < t.told/step
	if !isChange || now.Sub(t.toldAt) < gap {
		return false
	}
	t.told, t.toldAt = pace, now
	return true
}

// Current returns the last pace, 0 if unknown.
func (t *Tracker) Current() float64 { return t.current }

// noteSpell follows the slow spells.
func (t *Tracker) noteSpell(now time.Time) {
	isSlow := t.current >= slow*t.base(now)
	switch {
	case t.spell == 0:
		t.spell = usualSpell
	case !isSlow && !t.slowAt.IsZero():
		took := min(now.Sub(t.slowAt), maxSpells*t.spell)
		t.spell += time.Duration(float64(took-t.spell) * spellAlpha)
	}
	switch {
	case !isSlow:
		t.slowAt = time.Time{}
	case t.slowAt.IsZero():
		t.slowAt = now
	}
}

// ExpectedRecovery returns the time after which a slow target is expected to be faster, and
// its pace then; 0 if it isn't slow or seems to stay so. Spells end at random, so it
// doesn't depend on when this one began.
func (t *Tracker) ExpectedRecovery(now time.Time) (after time.Duration, then float64) {
	isSpell := !t.slowAt.IsZero() && now.Sub(t.slowAt) <= maxSpells*t.spell
	switch {
	case isSpell:
		return t.spell, t.base(now)
	case now.Before(t.coldTill):
		return t.coldTill.Sub(now), 1
	}
	return 0, 1
}

// Factor returns the last pace, 1 if unknown.
func (t *Tracker) Factor() float64 {
	if t.current == 0 {
		return 1
	}
	return t.current
}

// IsStale reports whether the pace is worth asking for before a call starts.
func (t *Tracker) IsStale(now time.Time) bool { return !t.none && now.Sub(t.seenAt) > fresh }

// ObserveNone notes that the target was asked and told no pace. It isn't worth
// asking again.
func (t *Tracker) ObserveNone() { t.none = t.current == 0 }
