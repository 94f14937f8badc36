package quota

import (
	"math"
	"time"
)

const (
	// MaxHint is the longest time that an owner names until its next token. An asker that
	// waits longer would leave tokens unused.
	MaxHint = 125 * time.Millisecond
	// minHint is the shortest such time: askers that wait less cost a message for each token.
	minHint = 10 * time.Millisecond
	// epsilon makes up for rounding: 0.1 s at 10 requests/s are one token.
	epsilon = 1e-9
)

// bucket is the token bucket for the parts of a customer's quota that one daemon owns.
type bucket struct {
	whole    Limit     // of the customer
	parts    int       // that this daemon owns
	limit    Limit     // of these parts
	tokens   float64   // as of filled
	filled   time.Time // no token is added for the time before
	since    time.Time // this daemon owns the customer since then, zero if it doesn't
	promised time.Time // latest time that was named for a next token
}

// fill adds the tokens of the time since the latest fill, but not of the time before start.
func (b *bucket) fill(now, start time.Time) {
	if b.filled.Before(start) {
		b.tokens, b.filled = 0, start
	}
	if now.After(b.filled) {
		b.tokens = min(b.limit.Burst, b.tokens+b.limit.PerSecond*now.Sub(b.filled).Seconds())
		b.filled = now
	}
}

// setLimit changes the limit of a filled bucket. Tokens beyond a smaller size are dropped.
func (b *bucket) setLimit(l Limit) {
	b.limit = l
	b.tokens = min(b.tokens, l.Burst)
}

// take takes up to want tokens from a filled bucket.
func (b *bucket) take(now time.Time, want int) Grant {
	n := min(want, int(math.Floor(b.tokens+epsilon)))
	b.tokens -= float64(n)
	g := Grant{Entitled: true, Count: n}
	if n < want {
		g.Wait = b.hint(now)
	}
	return g
}

// hint returns the time until an asker should ask again. Successive askers get increasing
// times, up to MaxHint, so that they don't all ask for the same token.
func (b *bucket) hint(now time.Time) time.Duration {
	each := time.Duration(min(float64(time.Second)/b.limit.PerSecond, float64(MaxHint)))
	need := time.Duration(min((1-b.tokens)*float64(time.Second)/b.limit.PerSecond, float64(MaxHint)))
	at := now.Add(need)
	if next := b.promised.Add(each); next.After(at) {
		at = next
	}
	wait := min(max(at.Sub(now), minHint), MaxHint)
	b.promised = now.Add(wait)
	return wait
}
