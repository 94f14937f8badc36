package retry

import (
	"time"

	"trefoilthread/core/types"
)

// yieldTime is the time after a retry was denied for which less urgent requests leave the
// budget to requests as urgent as the denied one.
const yieldTime = time.Second

// denial is the most urgent retry that was denied lately.
type denial struct {
	urgency types.Urgency
	at      time.Time // zero for none
}

// appliesTo reports whether a request has to leave the budget to more urgent ones.
func (d denial) appliesTo(now time.Time, u types.Urgency) bool {
	return !d.at.IsZero() && now.Sub(d.at) >= 0 && now.Sub(d.at) < yieldTime && d.urgency.Compare(u) < 0
}

// TakeFor is Take for a request of an urgency. For yieldTime after a more urgent request was denied
// a token it takes none, so that the budget isn't used up in the order of failures.
func (b *Budget) TakeFor(now time.Time, u types.Urgency) bool {
	if b.denied.appliesTo(now, u) {
		return false
	}
	if b.Take(now) {
		return true
	}
	b.denied = denial{urgency: u, at: now}
	return false
}
