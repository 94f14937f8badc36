package member

import (
	"time"

	"trefoilthread/core/types"
)

// observedDownTime is how long a target is Down after it was observed so. The
// observation has to end, because without calls nothing would show that the
// target answers again.
const observedDownTime = 5 * time.Second

// observation is what the responses of a target, or their absence, have shown
// since its last record.
type observation struct {
	incarnation uint64
	draining    bool
	downUntil   time.Time
	base        types.Target // the record at the first observation
}

// Observe records the state of a target that a response, or its absence, shows.
// It reports whether the view of the target may have changed. An older
// incarnation than the known one is ignored, and Up does not end Draining,
// because the response may be late.
func (d *Directory) Observe(now time.Time, id types.TargetID, incarnation uint64, s types.TargetState) bool {
	t, ok := d.record(id)
	if !ok || incarnation < t.Incarnation() {
		return false
	}
	obs, ok := d.observations[id]
	if ok && incarnation < obs.incarnation {
		return false
	}
	if !ok || incarnation > obs.incarnation || !obs.appliesTo(t) {
		obs = observation{incarnation: incarnation, base: t}
	}
	switch s {
	case types.Draining:
		obs.draining = true
	case types.Down:
		obs.downUntil = now.Add(observedDownTime)
	default:
		obs.downUntil = time.Time{}
	}
	if !obs.draining && obs.downUntil.IsZero() && incarnation == t.Incarnation() {
		delete(d.observations, id)
		return ok
	}
	d.observations[id] = obs
	return true
}

// appliesTo reports whether the observation still corrects record t, which then is
// not later than the record that the observation was made against.
func (obs observation) appliesTo(t types.Target) bool {
	return t.Incarnation() < obs.incarnation || t.Incarnation() == obs.incarnation && !t.Newer(obs.base)
}

// correct returns t in the observed state and incarnation.
func (obs observation) correct(now time.Time, t types.Target) types.Target {
	s := t.State()
	if obs.incarnation > t.Incarnation() {
		s = types.Up
	}
	if obs.draining {
		s = types.Draining
	}
	if now.Before(obs.downUntil) {
		s = types.Down
	}
	return withState(t, s, obs.incarnation, t.Sequence())
}
