package probe

import "time"

// Decision is the answer to a request for a grant.
type Decision struct {
	granted bool
	never   bool
	wait    time.Duration
}

// Granted reports whether the measurement may be made.
func (d Decision) Granted() bool { return d.granted }

// Never reports whether the cost is invalid or exceeds the whole budget, so
// that waiting doesn't help.
func (d Decision) Never() bool { return d.never }

// Wait returns how long the same cost isn't granted under the same budget. After
// that it is granted, unless another grant was made meanwhile or time ran
// backwards. Wait is zero if the cost was granted or Never is true.
func (d Decision) Wait() time.Duration { return d.wait }
