// Package claims keeps the records that make keyed requests run at most once,
// for one partition of the idempotency keys.
//
// A caller's key is hashed. The hash determines the partition, and each
// partition has one owner among the daemons. The owner runs a request only
// after the claim of its key is durable in the platform's key-value service
// (the store). Partition is one daemon's state machine for one partition.
//
// # Records in the store
//
// The tail, under once/<p>, holds the owner's epoch, the id of the write, and
// the claims that are not in a segment yet. Claims are written in batches: each
// batch is one compare-and-swap of the tail, one write is in progress at a time,
// and new claims are queued meanwhile. When the tail holds enough claims they
// are copied into a segment, once/<p>/seg/<n>, which is created under a lease
// of the retention time. A later tail leaves these claims out only after the
// segment is confirmed, so a key may be stored twice but is never missing.
//
// # Fencing
//
// The epoch is the fencing token. A takeover increments the epoch in the tail by
// a compare-and-swap on the revision that it read. From then on every write of
// the former owner conflicts, even if that daemon still believes that it is the
// owner. Safety therefore depends neither on a daemon's knowledge of its
// ownership nor on a clock. An epoch is won by exactly one swap, identified by
// its write id, so only the winner writes tails of that epoch.
//
// # Lost answers
//
// After a write that got no answer, or a conflict, the owner reads the record
// back and compares the write id. Claims that wait for longer than the claim
// timeout are refused as not run and forgotten, so that a late success of their
// write does not run them. Their keys may remain in the store. The same owner
// knows that they never ran and accepts new claims of them; after a takeover
// their outcome is unknown, which is safe. The rule also covers an owner that
// was paused: its batch may have been written before a takeover, and when the
// owner resumes it refuses the claims instead of running them late.
//
// # Segments of a former owner
//
// A former owner may create a segment after the takeover. Its claims are also in
// the tail that was taken over, so the segment can be ignored; the new owner
// finds that the number is in use and takes the next one.
//
// # Retention
//
// The owner keeps a key for the retention time, measured from the claim on its
// own monotonic clock. The store keeps it by the lease of its segment, which is
// granted after the claim. Wall clocks are never compared. The age of keys read
// at a takeover is unknown, so they are kept for one retention time from then on.
//
// # Usage
//
// Partition makes no calls itself and is not safe for concurrent use. Store
// calls are numbered per Partition, so an answer must go to the Partition that
// made the call. Step returns exactly one Run or Refuse action for the ticket
// of each Fresh claim.
//
//	p := claims.NewPartition(now, claims.Spec{Partition: 3, Holder: "rota-3", Seed: seed})
//	do(p.Step(now, claims.Acquire())) // when claims.Owner names this daemon
//	v := p.Claim(now, claims.KeyHash("rota", key))
//	do(p.Step(now, claims.Tick()))
//	// do executes store actions and passes the results to Step; on Run:
//	p.Finish(a.Hash(), a.Ticket(), response)
package claims
