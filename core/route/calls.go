package route

import "time"

// noCall is the nil index of the lists of calls.
const noCall = ^uint32(0)

// call is a call in flight from this daemon. The calls to a target form a doubly
// linked list of slot numbers in the order of their start.
type call struct {
	owner      *member // nil after the target restarted or left
	started    time.Duration
	prev, next uint32
	generation uint32 // odd while in use
	trial      bool   // started while the target was suspended
}

// calls holds the calls in flight to all targets. Slots are reused, so that
// Start doesn't allocate once the table has grown to the highest number of calls
// in flight.
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
	s.owner, s.started, s.prev, s.next = m, now, noCall, noCall
	s.generation++
	if m != nil {
		s.prev = m.newest
		if s.prev != noCall {
			c.slots[s.prev].next = i
		} else {
			m.oldest = i
		}
		m.newest = i
		if m.oldestSinceResume == noCall {
			m.oldestSinceResume = i
		}
		m.inFlight++
		s.trial = m.suspended
		if s.trial {
			m.trials++
		}
	}
	return Token{slot: i, generation: s.generation}
}

// finish releases the call and returns its target, or nil if the call was
// finished before or its target has restarted or left since.
func (c *calls) finish(t Token) (m *member, trial bool) {
	if int(t.slot) >= len(c.slots) || t.generation%2 == 0 || c.slots[t.slot].generation != t.generation {
		return nil, false
	}
	s := &c.slots[t.slot]
	m = s.owner
	if m != nil {
		if s.prev != noCall {
			c.slots[s.prev].next = s.next
		} else {
			m.oldest = s.next
		}
		if s.next != noCall {
			c.slots[s.next].prev = s.prev
		} else {
			m.newest = s.prev
		}
		if m.oldestSinceResume == t.slot {
			m.oldestSinceResume = s.next
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

// detach separates the calls in flight from a target that restarted or left.
// Their slots stay in use until they are finished.
func (c *calls) detach(m *member) {
	for i := m.oldest; i != noCall; i = c.slots[i].next {
		c.slots[i].owner = nil
	}
	m.oldest, m.newest, m.oldestSinceResume = noCall, noCall, noCall
	m.inFlight, m.trials = 0, 0
}

// oldestAge returns the age of the oldest call in flight that started since m was
// last resumed, or zero.
func (c *calls) oldestAge(now time.Duration, m *member) time.Duration {
	if m.oldestSinceResume == noCall {
		return 0
	}
	return now - c.slots[m.oldestSinceResume].started
}
