// Package fresh decides whether a daemon's knowledge of the store is recent enough to
// serve requests with API keys.
//
// A key that was removed must not be accepted for longer than a bound after the
// configuration without it was acknowledged, also by a daemon that is cut off from the
// store. So a daemon must know up to which time it has the store's state, and refuse such
// requests in time.
//
// # What proves knowledge
//
// An answer of the store shows the state at the time at which its call was sent, or a later
// one; it may have been formed at once and have been delayed since. An answer of another
// daemon shows the state that this one knew when it formed the answer. It states the age of
// that knowledge and how long it held the query, which was sent before. A read that may be
// stale shows nothing.
//
// The configuration in force may be older than that: a long document is read on its own
// after its change was learned. The knowledge of the configuration is that of the store only
// while no later document is known to exist. A document that isn't valid counts as taken
// over, as the one in force stays.
//
// # Bound
//
// Requests are accepted until a margin before the bound. The rest is for the request to
// reach its target, and for clocks that differ in rate.
//
// # Usage
//
//	c := fresh.New(5 * time.Second)
//	sent := now // the call to the store
//	c.Want(revision) // a document that the answer names and lacks
//	c.Learn(sent)
//	c.Applied(revision)
//	left, ok := c.Left(now)
//
// Times are durations since any fixed moment, on a clock that also runs while the machine is
// suspended. The package has no clock, and a Clock is not safe for concurrent use.
package fresh
