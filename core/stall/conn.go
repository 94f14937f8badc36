package stall

import "time"

// ConnID identifies a connection. The caller must not reuse it during the
// lifetime of the Tracker.
type ConnID uint64

// conn is the state of one connection.
type conn struct {
	outstanding        int64
	lastActivity       time.Time // last activity, or when something became outstanding
	lastProgress       time.Time // last call of Progress; zero if none
	pingSent           time.Time // oldest unanswered ping; zero if none
	abandoned          bool      // returned by Check, neither closed nor recovered yet
	inactiveSinceCheck bool      // no activity since Check returned it
}

// recordActivity ends the inactivity of the connection and the wait for the
// answer to a ping. A time before the last activity doesn't move it back.
func (c *conn) recordActivity(now time.Time) {
	if now.After(c.lastActivity) {
		c.lastActivity = now
	}
	c.pingSent = time.Time{}
	c.inactiveSinceCheck = false
}
