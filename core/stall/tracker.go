package stall

import (
	"slices"
	"time"
)

// Tracker detects stalled connections to one peer or target. It isn't safe for
// concurrent use.
type Tracker struct {
	opts            Options
	conns           map[ConnID]*conn
	latencyQuantile time.Duration
	lastCheck       time.Time
	untracked       uint64
}

// New returns a Tracker without connections. The first call of Check is due
// within half of StallAfter after now.
func New(now time.Time, o Options) *Tracker {
	return &Tracker{opts: o.withDefaults(), conns: make(map[ConnID]*conn), lastCheck: now}
}

// Len returns the number of connections tracked.
func (t *Tracker) Len() int { return len(t.conns) }

// Untracked returns the number of calls of Sent that couldn't add a connection
// because all tracked ones had something outstanding or were abandoned.
func (t *Tracker) Untracked() uint64 { return t.untracked }

// SetLatencyQuantile sets the target's 99 % latency quantile. Zero or less means
// unknown. Trackers of kind Peer don't use it.
func (t *Tracker) SetLatencyQuantile(q time.Duration) { t.latencyQuantile = max(q, 0) }

// Sent records that n more units are outstanding on the connection. The unit
// is the caller's choice: bytes, or open requests. Sent adds a connection that
// isn't tracked yet. It ignores n of zero or less.
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
		// Inactivity while nothing was outstanding doesn't count.
		c.recordActivity(now)
	}
	c.outstanding += n
}

// Progress records that n outstanding units were accepted or answered. With n
// of zero it records partial progress of a request, such as the arrival of a
// part of the response. It ignores negative n and connections that aren't
// tracked.
func (t *Tracker) Progress(now time.Time, id ConnID, n int64) {
	c := t.conns[id]
	if c == nil || n < 0 {
		return
	}
	c.recordActivity(now)
	c.lastProgress = now
	c.outstanding = max(0, c.outstanding-n)
}

// PingSent records a ping. While it is unanswered, further pings don't
// postpone the time at which the connection counts as stalled.
func (t *Tracker) PingSent(now time.Time, id ConnID) {
	if c := t.conns[id]; c != nil && c.pingSent.IsZero() {
		c.pingSent = now
	}
}

// PingAnswered records the answer to a ping, which is activity but not progress.
func (t *Tracker) PingAnswered(now time.Time, id ConnID) {
	if c := t.conns[id]; c != nil {
		c.recordActivity(now)
	}
}

// Recovered reports whether a connection that Check returned has been active
// since. If so, the connection is no longer abandoned, and Check may return it
// again. A pause that Check has detected counts as activity. Recovered returns
// false for a connection that isn't tracked.
func (t *Tracker) Recovered(id ConnID) bool {
	c := t.conns[id]
	if c == nil || c.inactiveSinceCheck {
		return false
	}
	c.abandoned = false
	return true
}

// Closed removes the connection from the Tracker.
func (t *Tracker) Closed(id ConnID) { delete(t.conns, id) }

// PingsDue returns the connections to ping, in ascending order: those that have
// been inactive for half of StallAfter and have no unanswered ping. It returns
// nil for a Tracker of kind Target.
func (t *Tracker) PingsDue(now time.Time) []ConnID {
	if t.opts.Kind != Peer {
		return nil
	}
	return t.selectConns(func(c *conn) bool {
		return c.pingSent.IsZero() && now.Sub(c.lastActivity) >= t.opts.StallAfter/2
	})
}

// Check returns the connections to abandon, in ascending order. It returns a
// connection again only after Recovered returned true for it. Check must be
// called at least every half of StallAfter: a longer interval counts as a pause
// of this process and resets the inactivity of all connections.
func (t *Tracker) Check(now time.Time) []ConnID {
	if now.Sub(t.lastCheck) > t.opts.StallAfter/2 {
		t.resetInactivity(now)
	}
	t.lastCheck = now
	isStalled := t.isPeerStalled
	if t.opts.Kind == Target {
		isStalled = t.targetStalledFunc()
	}
	ids := t.selectConns(func(c *conn) bool { return isStalled(now, c) })
	for _, id := range ids {
		t.conns[id].abandoned, t.conns[id].inactiveSinceCheck = true, true
	}
	return ids
}

// isPeerStalled reports whether a connection to a peer has been inactive for
// StallAfter and its ping unanswered for half of that.
func (t *Tracker) isPeerStalled(now time.Time, c *conn) bool {
	return !c.pingSent.IsZero() && now.Sub(c.pingSent) >= t.opts.StallAfter/2 &&
		now.Sub(c.lastActivity) >= t.opts.StallAfter
}

// targetStalledFunc returns a function that reports whether a connection to a
// target has stalled. It determines the latest progress on any connection
// beforehand, so that Check takes linear time. That may be progress on the
// connection in question, but this is never later than its last activity and
// so never makes it count as stalled.
func (t *Tracker) targetStalledFunc() func(time.Time, *conn) bool {
	var latest time.Time
	for _, c := range t.conns {
		if c.lastProgress.After(latest) {
			latest = c.lastProgress
		}
	}
	limit := max(t.opts.StallAfter, quantileFactor*t.latencyQuantile)
	return func(now time.Time, c *conn) bool {
		inactive := now.Sub(c.lastActivity)
		// Progress on another connection early in the inactivity isn't
		// sufficient: it also occurs when the whole target stops.
		return inactive >= limit && latest.After(c.lastActivity.Add(inactive/2))
	}
}

// resetInactivity counts the inactivity of all connections from now, because
// this process was paused and hasn't read what arrived meanwhile.
func (t *Tracker) resetInactivity(now time.Time) {
	for _, c := range t.conns {
		c.recordActivity(now)
	}
}

// add adds a connection and returns it. If the table is full, the connection
// replaces the one with the lowest ID that has nothing outstanding and isn't
// abandoned; add returns nil if there is none.
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

// selectConns returns the matching connections that have something outstanding
// and aren't abandoned, in ascending order.
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
