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
	return !d.at.IsZero() && now.Sub(d.at) < yieldTime && d.urgency.Compare(u) < 0
}

// TakeFor is Take for a request of an urgency. A request doesn't take a token while a more
// urgent one was denied lately: the first ones to fail would otherwise take the last of the
// budget, whoever they are.
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
