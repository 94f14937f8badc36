package stall

import (
	"slices"
	"time"
)

// Tracker follows the connections to one peer or target.
type Tracker struct {
	opts      Options
	conns     map[ConnID]*conn
	quantile  time.Duration
	checked   time.Time
	untracked uint64
}

// New returns a Tracker without connections.
func New(now time.Time, o Options) *Tracker {
	return &Tracker{opts: o.withDefaults(), conns: make(map[ConnID]*conn), checked: now}
}

// Len returns the number of connections tracked.
func (t *Tracker) Len() int { return len(t.conns) }

// Untracked returns how often Sent found no room for a new connection.
func (t *Tracker) Untracked() uint64 { return t.untracked }

// SetQuantile sets the target's 99 % latency quantile. Zero means unknown.
func (t *Tracker) SetQuantile(q time.Duration) { t.quantile = max(q, 0) }

// Sent records that n more units are outstanding on the connection. The unit
// is the caller's choice: bytes, or open requests. It adds an unknown
// connection.
func (t *Tracker) Sent(now time.Time, id ConnID, n int64) {
	if n <= 0 {
		return
	}
	c := t.conns[id]
	if c == nil {
		if c = t.add(id); c == nil {
			return
		}
	}
	if c.outstanding == 0 {
		// Silence while nothing was outstanding doesn't count.
		c.heard(now)
	}
	c.outstanding += n
}

// Progress records that n units were transferred. With n of zero it records a
// sign of life of the request, such as a part of the response.
func (t *Tracker) Progress(now time.Time, id ConnID, n int64) {
	c := t.conns[id]
	if c == nil || n < 0 {
		return
	}
	c.heard(now)
	c.progressed = now
	c.outstanding = max(0, c.outstanding-n)
}

// PingSent records a ping. Further pings don't move the time from which an
// answer is due.
func (t *Tracker) PingSent(now time.Time, id ConnID) {
	if c := t.conns[id]; c != nil && c.pinged.IsZero() {
		c.pinged = now
	}
}

// PingAnswered records the answer to a ping.
func (t *Tracker) PingAnswered(now time.Time, id ConnID) {
	if c := t.conns[id]; c != nil {
		c.heard(now)
	}
}

// Recovered reports whether a connection that Check returned has shown a sign
// of life since. It is then checked again.
func (t *Tracker) Recovered(id ConnID) bool {
	c := t.conns[id]
	if c == nil || c.silent {
		return false
	}
	c.abandoned = false
	return true
}

// Closed forgets the connection.
func (t *Tracker) Closed(id ConnID) { delete(t.conns, id) }

// PingsDue returns the connections that need a ping before Check can decide,
// in ascending order. It is empty for a Tracker of kind Target.
func (t *Tracker) PingsDue(now time.Time) []ConnID {
	if t.opts.Kind != Peer {
		return nil
	}
	return t.selectConns(func(c *conn) bool {
		return c.pinged.IsZero() && now.Sub(c.silentSince) >= t.opts.StallAfter/2
	})
}

// Check returns the connections to abandon, in ascending order, each of them
// once. It is to be called at least every half of StallAfter.
func (t *Tracker) Check(now time.Time) []ConnID {
	if now.Sub(t.checked) > t.opts.StallAfter/2 {
		t.restart(now)
	}
	t.checked = now
	stalled := t.isPeerStalled
	if t.opts.Kind == Target {
		stalled = t.targetRule()
	}
	ids := t.selectConns(func(c *conn) bool { return stalled(now, c) })
	for _, id := range ids {
		t.conns[id].abandoned, t.conns[id].silent = true, true
	}
	return ids
}

func (t *Tracker) isPeerStalled(now time.Time, c *conn) bool {
	return !c.pinged.IsZero() && now.Sub(c.pinged) >= t.opts.StallAfter/2 &&
		now.Sub(c.silentSince) >= t.opts.StallAfter
}

// targetRule returns the rule for connections of a target. It finds the
// latest progress first, so that a Check takes linear time. Progress of the
// silent connection itself is never later than the start of its silence.
func (t *Tracker) targetRule() func(time.Time, *conn) bool {
	var latest time.Time
	for _, c := range t.conns {
		if c.progressed.After(latest) {
			latest = c.progressed
		}
	}
	limit := max(t.opts.StallAfter, quantileFactor*t.quantile)
	return func(now time.Time, c *conn) bool {
		silent := now.Sub(c.silentSince)
		// Progress elsewhere at the start of the silence would also be seen
		// when the whole target stops.
		return silent >= limit && latest.After(c.silentSince.Add(silent/2))
	}
}

// restart lets all silence start anew, because this process didn't run.
func (t *Tracker) restart(now time.Time) {
	for _, c := range t.conns {
		c.heard(now)
	}
}

// add returns a new connection, or nil if all others are busy.
func (t *Tracker) add(id ConnID) *conn {
	if len(t.conns) >= t.opts.MaxConnections {
		idle, found := ConnID(0), false
		for other, c := range t.conns {
			if c.outstanding == 0 && !c.abandoned && (!found || other < idle) {
				idle, found = other, true
			}
		}
		if !found {
			t.untracked++
			return nil
		}
		delete(t.conns, idle)
	}
	c := &conn{}
	t.conns[id] = c
	return c
}

// selectConns returns the matching connections with something outstanding
// that haven't been abandoned.
func (t *Tracker) selectConns(match func(*conn) bool) []ConnID {
	var ids []ConnID
	for id, c := range t.conns {
		if c.outstanding > 0 && !c.abandoned && match(c) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
