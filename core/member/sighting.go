package member

import (
	"time"

	"trefoilthread/core/types"
)

// observedDownTime ends the effect of a failed contact: without calls nothing
// would show that the target answers again.
const observedDownTime = 5 * time.Second

// sighting is what direct contact has shown of a target.
type sighting struct {
	incarnation uint64
	draining    bool
	downUntil   time.Time
	base        types.Target // the record at that time
}

// Observe takes what a response, or its absence, shows of a target. It reports
// whether the view of the target may have changed. A late response of an older
// incarnation is ignored, and Up does not end a drain, because it may be late.
func (d *Directory) Observe(now time.Time, id types.TargetID, incarnation uint64, s types.TargetState) bool {
	t, ok := d.record(id)
	if !ok || incarnation < t.Incarnation() {
		return false
	}
	sg, ok := d.seen[id]
	if ok && incarnation < sg.incarnation {
		return false
	}
	if !ok || incarnation > sg.incarnation || !sg.holds(t) {
		sg = sighting{incarnation: incarnation, base: t}
	}
	switch s {
	case types.Draining:
		sg.draining = true
	case types.Down:
		sg.downUntil = now.Add(observedDownTime)
	default:
		sg.downUntil = time.Time{}
	}
	if !sg.draining && sg.downUntil.IsZero() && incarnation == t.Incarnation() {
		delete(d.seen, id)
		return ok
	}
	d.seen[id] = sg
	return true
}

// holds reports whether the sighting is still the latest news beside record t.
func (sg sighting) holds(t types.Target) bool {
	return t.Incarnation() < sg.incarnation || t.Incarnation() == sg.incarnation && !t.Newer(sg.base)
}

// correct returns t as the sighting shows it.
func (sg sighting) correct(now time.Time, t types.Target) types.Target {
	s := t.State()
	if sg.incarnation > t.Incarnation() {
		s = types.Up
	}
	if sg.draining {
		s = types.Draining
	}
	if now.Before(sg.downUntil) {
		s = types.Down
	}
	return withState(t, s, sg.incarnation, t.Sequence())
}
