package admit

import (
	"time"

	"trefoilthread/core/types"
)

// accept stores a call under a new ticket. Places are reused, ids are not.
func (g *Gate) accept(now time.Time, c types.Call) *entry {
	g.lastID++
	var e *entry
	if n := len(g.free); n > 0 {
		e = g.free[n-1]
		g.free = g.free[:n-1]
	} else {
		e = &entry{place: uint32(len(g.entries))}
		g.entries = append(g.entries, e)
	}
	e.id, e.kind = g.lastID, g.kindOf(c)
	e.urgent, e.deadline, e.goal = c.Class().Urgent(), c.Deadline(), c.Goal()
	if e.guess = 0; !e.goal.IsZero() {
		e.guess = e.goal.Sub(now) / goalPerWork
	}
	return e
}

// release ends a ticket.
func (g *Gate) release(e *entry) {
	*e = entry{place: e.place}
	g.free = append(g.free, e)
}

// find returns the accepted call of a ticket, nil if its result is final.
func (g *Gate) find(t Ticket) *entry {
	if t.id == 0 || int(t.place) >= len(g.entries) {
		return nil
	}
	if e := g.entries[t.place]; e.id == t.id {
		return e
	}
	return nil
}

func (g *Gate) refusal(r reason) Ticket {
	g.lastID++
	return Ticket{id: g.lastID, reason: r}
}
