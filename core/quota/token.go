package quota

import "time"

// Lifetime is the time for which a token may be used, from the time at which it was asked
// for. It covers the requests that are expected within ahead, and the answer. A longer time
// would add to the requests that may run in a window.
const Lifetime = 250 * time.Millisecond

// Token lets one request run.
type Token struct {
	expires time.Time // zero if it wasn't taken from a quota
}

// lot is a number of tokens that expire together.
type lot struct {
	count   int
	expires time.Time
}

// IsValid reports whether the token may be used.
func (t Token) IsValid(now time.Time) bool { return now.Before(t.expires) }
