package stall

import "time"

// ConnID identifies a connection, unique for the life of the Tracker.
type ConnID uint64

// conn is the state of one connection.
type conn struct {
	outstanding int64
	silentSince time.Time // last sign of life, or when something became outstanding
	progressed  time.Time // last transfer; zero if none
	pinged      time.Time // ping without an answer; zero if none
	abandoned   bool      // returned by Check, not closed yet
	silent      bool      // no sign of life since Check returned it
}

// heard records a sign of life.
func (c *conn) heard(now time.Time) {
	if now.After(c.silentSince) {
		c.silentSince = now
	}
	c.pinged = time.Time{}
	c.silent = false
}
