package admit

import "time"

// maxStreak is the number of successive grants from the queue to urgent calls
// after which another call is due: 7 of 8.
const maxStreak = 7

// capacity returns the number of calls that may run now.
func (g *Gate) capacity() int { return min(g.limit.Value(), g.opts.Connections) }

// hasSlot reports whether a call may start now.
func (g *Gate) hasSlot(urgent bool) bool {
	n := g.capacity()
	return g.running < n && (urgent || g.normals < n-g.opts.reserve(n))
}

func (g *Gate) start(e *entry) {
	e.running = true
	g.running++
	if !e.urgent {
		g.normals++
	}
}

// grant starts waiting calls in free slots and returns all pending events.
func (g *Gate) grant(now time.Time) []Event {
	for {
		urgent := g.urgent.Len() > 0 && g.hasSlot(true)
		normal := g.normal.Len() > 0 && g.hasSlot(false)
		if !urgent && !normal {
			return g.Pending()
		}
		q := &g.urgent
		if normal && (!urgent || g.streak >= maxStreak) {
			q = &g.normal
		}
		e := q.items[0]
		if g.isLate(now, e) {
			g.drop(e, late)
			continue
		}
		q.remove(e)
		g.start(e)
		if e.urgent {
			g.streak = min(g.streak+1, maxStreak)
		} else {
			g.streak = 0
		}
		g.pending = append(g.pending, Event{Ticket: e.ticket(), Verdict: Run})
	}
}
