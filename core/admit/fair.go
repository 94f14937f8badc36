package admit

import "time"

// isTurnOf reports whether e and o are ordered by whose customer's last start is the longest
// ago: they have the same rank and kind, both are expected to meet their goal or both to miss
// it, and both came by Offer or both by Arrive.
func (e *entry) isTurnOf(o *entry) bool {
	return e.customer != nil && o.customer != nil &&
		e.customerRank == o.customerRank && e.kind == o.kind && e.demoted == o.demoted && e.arrived == o.arrived
}

// next returns the waiting call of q, which isn't empty, that runs next: every second one may
// be that of a customer with precedence, the others are in the order of the queue and, among
// equal ones, of the customer whose last start is the longest ago.
func (g *Gate) next(q *queue) *entry {
	first := q.items[0]
	if !g.customers.known() {
		return first
	}
	if e := g.oldestUnderserved(q); e != nil && g.customers.sinceUnderserved >= startsBetween(e, first) {
		return e
	}
	best := first
	for _, e := range q.items {
		if e.isTurnOf(first) && (e.customer.turn < best.customer.turn || e.customer.turn == best.customer.turn && q.before(e, best)) {
			best = e
		}
	}
	return best
}

// startsBetween returns the number of starts between two of customers with precedence, if e is a
// call of such a customer and first the next one in the order of the queue.
func startsBetween(e, first *entry) int {
	if first.customer == nil && first.worthRate > e.worthRate {
		return maxBeforeUnderserved
	}
	return 1
}

// oldestUnderserved returns the oldest waiting call of q whose customer has precedence, nil if there
// is none.
func (g *Gate) oldestUnderserved(q *queue) *entry {
	var oldest *entry
	for _, e := range q.items {
		if g.customers.isUnderserved(e.customer) && (oldest == nil || e.id < oldest.id) {
			oldest = e
		}
	}
	return oldest
}

// countAhead returns how many waiting calls of its queue run before e.
func (g *Gate) countAhead(e *entry) int {
	q := g.queueOf(e)
	if e.customer == nil {
		return q.countAhead(e)
	}
	if g.customers.isUnderserved(e.customer) {
		perCall := 2 // starts
		if q.Len() > 0 {
			perCall = startsBetween(e, q.items[0]) + 1
		}
		return min((g.countUnderserved(q)+1)*perCall-1, q.Len())
	}
	g.customers.count(q, e.customer, e.isTurnOf)
	rounds := e.customer.waiting + 1
	n := e.customer.waiting
	for _, o := range q.items {
		switch {
		case !o.isTurnOf(e):
			if q.before(o, e) || g.customers.isUnderserved(o.customer) {
				n++
			}
		case o.customer != e.customer && o.customer.waiting > 0:
			n += min(o.customer.waiting, rounds)
			o.customer.waiting = 0 // so that its other calls aren't added again
		}
	}
	return n
}

// countUnderserved returns the number of waiting calls of q whose customers have precedence.
func (g *Gate) countUnderserved(q *queue) int {
	n := 0
	for _, e := range q.items {
		if g.customers.isUnderserved(e.customer) {
			n++
		}
	}
	return n
}

// beyondShare returns the newest waiting call of the customer that holds most of the waiting
// calls of the rank of e, if that is more than its even share and the customer of e holds
// less than its own; otherwise nil. isBelow reports whether the customer of e holds less than
// its share; it is true for a call without a customer.
func (g *Gate) beyondShare(e *entry) (victim *entry, isBelow bool) {
	if e.customer == nil {
		return nil, true
	}
	q := g.queueOf(e)
	calls, n := g.customers.count(q, e.customer, func(o *entry) bool { return o.customerRank == e.customerRank })
	share := max(1, calls/n)
	if e.customer.waiting >= share {
		return nil, false
	}
	for _, o := range q.items {
		if o.customer == nil || o.arrived && !e.arrived || o.customerRank != e.customerRank || o.customer.waiting <= share || g.customers.isUnderserved(o.customer) {
			continue
		}
		if victim == nil || o.customer.waiting > victim.customer.waiting ||
			o.customer.waiting == victim.customer.waiting && o.id > victim.id {
			victim = o
		}
	}
	return victim, true
}

// victimOf returns the waiting call that a full queue gives up for e, with the reason; nil if
// there is none of less value.
func (g *Gate) victimOf(e *entry) (*entry, reason) {
	q := g.queueOf(e)
	if !g.customers.known() {
		if v := q.leastValuable(); v != nil && (e.arrived || !v.arrived) && v.worthRate < e.worthRate {
			return v, reasonDisplaced
		}
		return nil, reasonNone
	}
	victim, isBelow := g.beyondShare(e)
	if victim != nil {
		return victim, reasonShare
	}
	for _, o := range q.items {
		if g.mayDisplace(e, o, isBelow) && (victim == nil || byWorthRate(victim, o)) {
			victim = o
		}
	}
	return victim, reasonDisplaced
}

// mayDisplace reports whether e has more value than a waiting call o. A customer that holds
// its share of the waiting calls displaces only its own.
func (g *Gate) mayDisplace(e, o *entry, isBelowShare bool) bool {
	switch {
	case o.arrived && !e.arrived, g.customers.isUnderserved(o.customer):
		return false
	case g.customers.isUnderserved(e.customer):
		return true
	case o.customerRank != e.customerRank:
		return o.customerRank > e.customerRank
	}
	return o.worthRate < e.worthRate && (isBelowShare || o.customer == e.customer)
}

// makeRoomForGoal reports whether e meets its goal in place of a waiting call of a customer
// beyond its share, and refuses that call if so.
func (g *Gate) makeRoomForGoal(now time.Time, e *entry) bool {
	victim, _ := g.beyondShare(e)
	if victim == nil {
		return false
	}
	q := g.queueOf(e)
	q.remove(victim)
	misses := g.missesGoal(now, e, g.estimatedWait(now, e))
	q.add(victim)
	if !misses {
		g.drop(victim, reasonShare)
	}
	return !misses
}
