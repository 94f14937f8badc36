package admit

// room returns the size of the queue: each running or waiting call needs one
// connection. More calls than slots run for a while after Slots was lowered.
func (g *Gate) room() int {
	return max(0, min(g.opts.Queue, g.opts.Connections-max(g.opts.Slots, g.running)))
}

// protected returns how many of room places in the queue urgent calls cannot
// take from other calls.
func protected(room int) int {
	if room < 2 {
		return 0
	}
	return max(1, room/8)
}

func (g *Gate) waiting() int { return g.urgent.Len() + g.normal.Len() }

// shrink refuses the least valuable waiting calls beyond the size of the queue.
func (g *Gate) shrink() {
	room := g.room()
	for g.waiting() > room {
		if g.normal.Len() > protected(room) || g.urgent.Len() == 0 {
			g.drop(g.normal.least(), shrunk)
		} else {
			g.drop(g.urgent.least(), shrunk)
		}
	}
}

// makeRoom makes a place in the queue for e, if necessary by refusing a
// waiting call of less value.
func (g *Gate) makeRoom(e *entry) bool {
	room := g.room()
	if g.waiting() < room {
		return true
	}
	if room == 0 {
		return false
	}
	switch {
	case e.urgent && g.normal.Len() > protected(room):
		g.drop(g.normal.least(), displaced)
		return true
	case !e.urgent && g.normal.Len() < protected(room):
		g.drop(g.urgent.least(), displaced)
		return true
	}
	victim := g.queueOf(e).least()
	if victim == nil || victim.value >= e.value {
		return false
	}
	g.drop(victim, displaced)
	return true
}

// drop refuses a waiting call.
func (g *Gate) drop(e *entry, r reason) {
	g.queueOf(e).remove(e)
	g.pending = append(g.pending, Event{Ticket: e.ticket(), Verdict: Refuse, Reason: r.String()})
	g.release(e)
}

func (g *Gate) queueOf(e *entry) *queue {
	if e.urgent {
		return &g.urgent
	}
	return &g.normal
}
