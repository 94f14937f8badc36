// Package claims keeps the at-most-once records of one partition of
// idempotency keys.
//
// A caller's key is hashed; the hash belongs to a partition, and the partition
// to one daemon, its owner. The owner runs a request only after the claim of
// its key is durable in the platform's key-value service (the store). Partition
// is the state machine of one daemon for one partition.
//
// # Records in the store
//
// The tail once/<p> holds the owner's epoch, the id of the write, and the
// claims that are not in a segment yet. Each batch of claims is one
// compare-and-swap of the tail, one at a time; claims accumulate meanwhile.
// When the tail holds enough claims they are copied into a segment
// once/<p>/seg/<n>, which is created under a lease of the retention time. Only
// after the segment is confirmed does a later tail leave these claims out, so a
// key may stand twice but never nowhere.
//
// # Fencing
//
// A takeover raises the epoch in the tail by a compare-and-swap on the revision
// it read. From then on every write of the former owner conflicts, whatever it
// believes. Safety does not depend on knowing that one owns the partition, nor
// on a clock. A tail of one's own epoch is one's own: an epoch is won by one
// swap, identified by its write id.
//
// # Lost answers
//
// A write without answer, or with a conflict, is resolved by reading back the
// write id. Claims that wait for longer than the claim time are refused as not
// run, and are forgotten, so that a late success of their write does not run
// them. Their keys may stand in the store. The same owner knows that they never
// ran and claims them afresh; after a takeover they are "outcome unknown",
// which is safe. This rule also holds for an owner that was paused: its batch
// may have been written before a takeover, and when it wakes it refuses the
// claims instead of running them late.
//
// # Segments of a former owner
//
// A former owner may create a segment after the takeover. Its claims are in the
// tail that was taken over, so nothing is lost by ignoring it; the new owner
// finds the number in use and takes the next one.
//
// # Retention
//
// A key is kept for the retention time on the owner's own monotonic clock from
// its claim, and in the store by the lease of its segment, which is granted
// after the claim. No wall clocks are compared. Keys read at a takeover have an
// unknown age and are kept for one retention time from then on.
//
// # Usage
//
// Partition makes no calls itself and is not safe for concurrent use. The
// numbers of its calls are its own: an answer belongs to the Partition that asked.
// A Fresh claim gets exactly one Run or Refuse action with its ticket from Step.
//
//	p := claims.NewPartition(now, claims.Spec{Partition: 3, Holder: "rota-3", Seed: seed})
//	do(p.Step(now, claims.Acquire())) // when claims.Owner names this daemon
//	v := p.Claim(now, claims.KeyHash("rota", key))
//	do(p.Step(now, claims.Tick()))
//	// do executes store actions and passes the results to Step; on Run:
//	p.Finish(a.Hash(), a.Ticket(), response)
package claims
