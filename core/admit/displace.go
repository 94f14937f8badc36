package admit

// maxWaiting returns the number of calls that may wait. Each running or waiting
// call needs one connection, and after Slots was lowered, more calls than slots
// run for a while.
func (g *Gate) maxWaiting() int {
	return max(0, min(g.opts.Queue, g.opts.Connections-max(g.opts.Slots, g.running)))
}

// protectedPlaces returns how many places of a queue of the given size are kept
// for normal calls: urgent calls cannot displace normal calls from them.
func protectedPlaces(size int) int {
	if size < 2 {
		return 0
	}
	return max(1, size/8)
}

func (g *Gate) waiting() int { return g.urgent.Len() + g.normal.Len() }

// shrinkQueue refuses the least valuable waiting calls beyond maxWaiting.
func (g *Gate) shrinkQueue() {
	size := g.maxWaiting()
	for g.waiting() > size {
		if g.normal.Len() > protectedPlaces(size) || g.urgent.Len() == 0 {
			g.drop(g.normal.leastValuable(), reasonQueueReduced)
		} else {
			g.drop(g.urgent.leastValuable(), reasonQueueReduced)
		}
	}
}

// makeRoom reports whether the queue has a place for e. If the queue is full, it
// refuses a waiting call of less value to free one.
func (g *Gate) makeRoom(e *entry) bool {
	size := g.maxWaiting()
	if g.waiting() < size {
		return true
	}
	if size == 0 {
		return false
	}
	switch {
	case e.urgent && g.normal.Len() > protectedPlaces(size):
		g.drop(g.normal.leastValuable(), reasonDisplaced)
		return true
	case !e.urgent && g.normal.Len() < protectedPlaces(size):
		g.drop(g.urgent.leastValuable(), reasonDisplaced)
		return true
	}
	victim, r := g.victimOf(e)
	if victim == nil {
		return false
	}
	g.drop(victim, r)
	return true
}

// drop removes a waiting call from its queue and adds its refusal to the events.
func (g *Gate) drop(e *entry, r reason) {
	g.customers.recordRefusal(e.customer, r)
	g.ranks.recordRefusal(e, r)
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
