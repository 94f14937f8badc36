package link

import (
	"time"

	"trefoilthread/core/types"
)

// Offer is a call whose body waits at its sender.
type Offer struct {
	Call       types.Call
	Bytes      int     // of the body
	SenderMbit float64 // speed of the sender's link, 0 if unknown
	Value      float64 // offers of a higher value are granted first
}

// ID names an offer. It is never reused.
type ID uint64

// offer is an Offer that waits or whose body is under way.
type offer struct {
	Offer
	id    ID
	left  int       // bytes that have not come
	quiet time.Time // a granted body isn't counted from then on, unless more of it comes
}

// precedes reports whether o is granted before p.
func (o *offer) precedes(p *offer) bool {
	switch {
	case o.Value != p.Value:
		return o.Value > p.Value
	case !o.Call.Deadline().Equal(p.Call.Deadline()):
		return o.Call.Deadline().Before(p.Call.Deadline())
	}
	return o.id < p.id
}

// Event is the decision on an offer.
type Event struct {
	ID      ID
	Granted bool
	Reason  string        // why it is refused
	Start   time.Duration // time after which the sender of a granted body begins
}
