package types

import "cmp"

// Urgency is the priority of a request: that of its customer goes before that of its route, and
// 0 is the most urgent.
type Urgency struct {
	Customer, Route int
}

// Compare returns a negative number if u is more urgent than o, 0 if both are equal.
func (u Urgency) Compare(o Urgency) int {
	return cmp.Or(cmp.Compare(u.Customer, o.Customer), cmp.Compare(u.Route, o.Route))
}
