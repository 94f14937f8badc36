package admit

import (
	"time"

	"trefoilthread/core/types"
)

// newEntry stores a call under a new ticket. Indexes of entries are reused, ids
// are not.
func (g *Gate) newEntry(now time.Time, c types.Call) *entry {
	g.lastID++
	var e *entry
	if n := len(g.free); n > 0 {
		e = g.free[n-1]
		g.free = g.free[:n-1]
	} else {
		e = &entry{index: uint32(len(g.entries))}
		g.entries = append(g.entries, e)
	}
	e.id, e.kind = g.lastID, g.kindOf(c)
	e.customer, e.customerRank = g.customers.find(c.Customer()), c.CustomerRank()
	e.rank, e.promptOnly = c.Rank(), c.PromptOnly()
	e.urgent, e.deadline, e.goal = c.Class().Urgent(), c.Deadline(), c.Goal()
	if e.assumedService = 0; !e.goal.IsZero() {
		e.assumedService = min(e.goal.Sub(now)/goalServiceRatio, g.longestAssumed(e.deadline.Sub(now)))
	}
	return e
}

// longestAssumed returns the longest assumed service time of a call with the given remaining
// time. No call of a kind would ever correct an assumption by which all of them miss their
// deadline, so a call that starts at once must meet its own, also at a pace that stays slow.
func (g *Gate) longestAssumed(remaining time.Duration) time.Duration {
	return time.Duration(float64(remaining) / max(goalServiceRatio, g.pace))
}

// release makes the ticket of e invalid and the entry free for reuse.
func (g *Gate) release(e *entry) {
	*e = entry{index: e.index}
	g.free = append(g.free, e)
}

// find returns the entry of a ticket, nil if its call has been refused, canceled
// while it waited, or ended.
func (g *Gate) find(t Ticket) *entry {
	if t.id == 0 || int(t.index) >= len(g.entries) {
		return nil
	}
	if e := g.entries[t.index]; e.id == t.id {
		return e
	}
	return nil
}

// refuse ends the offer of a call and counts the refusal in the share of its rank.
func (g *Gate) refuse(e *entry, r reason) (Ticket, Verdict) {
	g.ranks.recordRefusal(e, r)
	g.release(e)
	return g.refusal(r), Refuse
}

// refusal returns a new ticket for a call that Offer refuses.
func (g *Gate) refusal(r reason) Ticket {
	g.lastID++
	return Ticket{id: g.lastID, reason: r}
}
