package route

import "time"

// none is the link that ends a list of calls.
const none = ^uint32(0)

// call is an own call in flight. The calls of a target form a list in the
// order of their start.
type call struct {
	owner      *member // nil after the target restarted or left
	started    time.Duration
	prev, next uint32
	generation uint32 // odd while in use
	trial      bool   // started while the target was suspended
}

// calls holds the calls in flight of all targets. Places are used again, so
// that Start doesn't allocate once the table has grown to the highest number
// of calls in flight.
type calls struct {
	slots []call
	free  []uint32
}

func (c *calls) start(now time.Duration, m *member) Token {
	var i uint32
	if n := len(c.free); n > 0 {
		i, c.free = c.free[n-1], c.free[:n-1]
	} else {
		i = uint32(len(c.slots))
		c.slots = append(c.slots, call{})
	}
	s := &c.slots[i]
	s.owner, s.started, s.prev, s.next = m, now, none, none
	s.generation++
	if m != nil {
		s.prev = m.newest
		if s.prev != none {
			c.slots[s.prev].next = i
		} else {
			m.oldest = i
		}
		m.newest = i
		if m.watched == none {
			m.watched = i
		}
		m.inFlight++
		s.trial = m.suspended
		if s.trial {
			m.trials++
		}
	}
	return Token{slot: i, generation: s.generation}
}

// finish releases the call and returns its target, or nil if the target isn't
// the same any more or the call was finished before.
func (c *calls) finish(t Token) (m *member, trial bool) {
	if int(t.slot) >= len(c.slots) || t.generation%2 == 0 || c.slots[t.slot].generation != t.generation {
		return nil, false
	}
	s := &c.slots[t.slot]
	m = s.owner
	if m != nil {
		if s.prev != none {
			c.slots[s.prev].next = s.next
		} else {
			m.oldest = s.next
		}
		if s.next != none {
			c.slots[s.next].prev = s.prev
		} else {
			m.newest = s.prev
		}
		if m.watched == t.slot {
			m.watched = s.next
		}
		m.inFlight--
		if s.trial {
			m.trials--
		}
	}
	s.owner = nil
	s.generation++
	c.free = append(c.free, t.slot)
	return m, s.trial
}

// disown detaches the calls of a target that restarted or left. Their places
// stay in use until they are finished.
func (c *calls) disown(m *member) {
	for i := m.oldest; i != none; i = c.slots[i].next {
		c.slots[i].owner = nil
	}
	m.oldest, m.newest, m.watched = none, none, none
	m.inFlight, m.trials = 0, 0
}

// age returns the time since the start of the oldest watched call of m, or
// zero.
func (c *calls) age(now time.Duration, m *member) time.Duration {
	if m.watched == none {
		return 0
	}
	return now - c.slots[m.watched].started
}
