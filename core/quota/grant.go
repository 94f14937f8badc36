package quota

import "time"

// Grant is the answer of an owner.
type Grant struct {
	// Entitled means that the daemon may grant tokens of the customer now. One that isn't
	// says nothing about the quota.
	Entitled bool
	Count    int
	// Wait is the time until the next token, if there were fewer than asked for.
	Wait time.Duration
}
