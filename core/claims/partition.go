package claims

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"
)

// Partition is one daemon's state machine for one partition of the idempotency
// keys. It is not safe for concurrent use.
type Partition struct {
	spec             Spec
	rnd              *rand.Rand
	state            State
	reason           string
	acquireNotBefore time.Time // earliest time of the next takeover
	table            *table
	lastTicket       uint64
	actions          []Action
	lastOp           uint64

	// The tail is read or written by one call at a time.
	tailCall       call
	tailNotBefore  time.Time // earliest time of the next call
	needsReadBack  bool      // the result of the last write is not known
	failures       int       // failed calls since the last success
	epoch          uint64
	revision       int64
	writeIDPrefix  string // differs for each takeover
	writes         uint64
	writeID        string // id of the last write
	takeoverValue  []byte // tail that the takeover writes, encoded
	takeoverTail   Tail   // takeoverValue, decoded
	isReleaseWrite bool   // the last write releases the partition

	queued   []pendingClaim // claims for the next write
	inFlight []pendingClaim // claims in a write that is not confirmed yet
	unsealed []Hash         // durable claims that are not in a confirmed segment

	segments     []segmentInUse // in order of their numbers
	nextSegment  uint64
	seal         *seal
	segmentReads []*segmentRead
}

// call is a store call in progress; op is 0 if there is none.
type call struct {
	op   uint64
	sent time.Time
}

// pendingClaim is a Fresh claim that is not durable yet.
type pendingClaim struct {
	hash   Hash
	ticket uint64
	at     time.Time
}

// NewPartition returns a partition in state Released.
func NewPartition(now time.Time, s Spec) *Partition {
	s = s.withDefaults()
	return &Partition{
		spec: s, rnd: rand.New(rand.NewPCG(s.Seed[0], s.Seed[1])), table: newTable(now, s),
	}
}

// State returns the state of the partition.
func (p *Partition) State() State { return p.state }

// Reason returns why the partition was last released, or why a segment cannot be
// read; "" if there is no reason.
func (p *Partition) Reason() string { return p.reason }

// Epoch returns the epoch of the current or last ownership.
func (p *Partition) Epoch() uint64 { return p.epoch }

// Len returns the number of claimed keys in memory.
func (p *Partition) Len() int { return len(p.table.keys) }

// Claim decides on a claim of a key. A Fresh claim is queued; a later Step writes
// it to the store.
func (p *Partition) Claim(now time.Time, h Hash) ClaimResult {
	if p.state != Active {
		return ClaimResult{answer: Refused, reason: "partition is " + p.state.String() + " here"}
	}
	if e, ok := p.table.keys[h]; ok {
		switch e.state {
		case responded:
			return ClaimResult{answer: Completed, response: p.table.responses[h]}
		case unknown:
			return ClaimResult{answer: UnknownOutcome}
		}
		return ClaimResult{answer: Running}
	}
	switch {
	case len(p.table.keys) >= p.spec.MaxKeys:
		return ClaimResult{answer: Refused, reason: "table of keys is full"}
	case len(p.unsealed)+len(p.inFlight)+len(p.queued) >= maxTailSegments*p.spec.SegmentSize:
		return ClaimResult{answer: Refused, reason: "claims cannot be written to the store"}
	}
	p.lastTicket++
	p.table.put(now, h, claiming)
	p.queued = append(p.queued, pendingClaim{hash: h, ticket: p.lastTicket, at: now})
	return ClaimResult{answer: Fresh, ticket: p.lastTicket}
}

// Finish reports the response of the run with the given ticket. A run of an earlier
// ownership is ignored, and so is one that has already been reported.
func (p *Partition) Finish(h Hash, ticket uint64, response []byte) {
	if p.endRun(h, ticket) {
		p.table.retainResponse(h, response)
	}
}

// FinishUnknown reports that a run ended without a response, so that its outcome
// is unknown.
func (p *Partition) FinishUnknown(h Hash, ticket uint64) {
	if p.endRun(h, ticket) {
		p.table.setState(h, unknown)
	}
}

// FinishNotRun reports that a request provably did not run although a Run action
// was returned for it, for example because its target refused it. Its key may be
// claimed again.
func (p *Partition) FinishNotRun(h Hash, ticket uint64) {
	if p.endRun(h, ticket) {
		p.table.forget(h)
	}
}

// endRun ends the run in progress of h and reports true, if that run has the given
// ticket.
func (p *Partition) endRun(h Hash, ticket uint64) bool {
	if t, ok := p.table.tickets[h]; !ok || t != ticket {
		return false
	}
	delete(p.table.tickets, h)
	return true
}

// Step processes an event and everything that is due at now, and returns the
// resulting actions.
func (p *Partition) Step(now time.Time, ev Event) []Action {
	p.actions = nil
	p.table.expire(now)
	p.refuseTimedOut(now)
	p.handleEvent(now, ev)
	p.timeOutCalls(now)
	p.advanceTail(now)
	p.advanceSegmentReads(now)
	p.advanceSeal(now)
	return p.actions
}

// handleEvent applies an event to the state.
func (p *Partition) handleEvent(now time.Time, ev Event) {
	switch ev.kind {
	case acquire:
		if p.state == Released && !now.Before(p.acquireNotBefore) {
			p.state, p.reason, p.tailNotBefore, p.failures = ReadingTail, "", now, 0
		}
	case abdicate:
		switch p.state {
		case ReadingTail, RaisingEpoch, LoadingSegments:
			p.release(now, "abdicated")
		case Active:
			p.state, p.seal = Leaving, nil
			p.refuse(p.queued, "partition moves to another daemon")
			p.queued = nil
		}
	default:
		p.handleAnswer(now, ev)
	}
}

// handleAnswer passes the answer of a store call to the tail, the seal or the
// segment read that made the call. Late and repeated answers have no effect.
func (p *Partition) handleAnswer(now time.Time, ev Event) {
	switch {
	case ev.op == 0:
	case ev.op == p.tailCall.op:
		p.tailCall.op = 0
		if ev.kind == readDone {
			p.handleTailRead(now, ev)
		} else {
			p.handleTailWrite(now, ev)
		}
	case p.seal != nil && ev.op == p.seal.call.op:
		p.seal.call.op = 0
		p.handleSealAnswer(now, ev)
	default:
		p.handleSegmentRead(now, ev)
	}
}

// timeOutCalls ends the calls without an answer after callTimeout with status
// Unknown.
func (p *Partition) timeOutCalls(now time.Time) {
	late := func(c call) bool { return c.op != 0 && !now.Before(c.sent.Add(callTimeout)) }
	if late(p.tailCall) {
		ev := Event{kind: swapDone, op: p.tailCall.op, status: Unknown}
		if p.state == ReadingTail || p.needsReadBack {
			ev.kind = readDone
		}
		p.handleAnswer(now, ev)
	}
	if p.seal != nil && late(p.seal.call) {
		p.handleAnswer(now, Event{op: p.seal.call.op, status: Unknown})
	}
	for _, l := range p.segmentReads {
		if late(l.call) {
			p.handleAnswer(now, Event{op: l.call.op, status: Unknown})
		}
	}
}

// release ends an ownership or a takeover. All claims that are not durable are
// refused.
func (p *Partition) release(now time.Time, reason string) {
	p.refuse(p.inFlight, reason)
	p.refuse(p.queued, reason)
	p.inFlight, p.queued, p.unsealed = nil, nil, nil
	p.segments, p.seal, p.segmentReads = nil, nil, nil
	p.tailCall, p.needsReadBack, p.isReleaseWrite = call{}, false, false
	p.table = newTable(now, p.spec)
	p.state, p.reason = Released, reason
	p.acquireNotBefore = now.Add(takeoverHoldOff + time.Duration(p.rnd.Int64N(int64(2*takeoverHoldOff))))
}

// refuse emits a Refuse action for each claim and forgets its key. The claims must
// not be durable as far as this owner knows.
func (p *Partition) refuse(ws []pendingClaim, reason string) {
	for _, w := range ws {
		p.table.forget(w.hash)
		p.actions = append(p.actions, Action{kind: Refuse, hash: w.hash, ticket: w.ticket, reason: reason})
	}
}

// refuseTimedOut refuses the claims that have waited for the claim timeout. A later
// success of their write does not run them.
func (p *Partition) refuseTimedOut(now time.Time) {
	p.inFlight = p.dropTimedOut(now, p.inFlight)
	p.queued = p.dropTimedOut(now, p.queued)
}

// dropTimedOut refuses the claims of ws that have waited for the claim timeout and
// returns the others. ws is in the order of the claims.
func (p *Partition) dropTimedOut(now time.Time, ws []pendingClaim) []pendingClaim {
	n := 0
	for n < len(ws) && now.Sub(ws[n].at) >= p.spec.ClaimTimeout {
		n++
	}
	p.refuse(ws[:n], "store did not confirm the claim in time")
	return ws[n:]
}

// send emits the action of a store call and returns the call in progress.
func (p *Partition) send(now time.Time, a Action) call {
	p.lastOp++
	a.op = p.lastOp
	p.actions = append(p.actions, a)
	return call{op: a.op, sent: now}
}

// newWriteID returns an id that no other write has. It begins with the prefix of
// this takeover, because an epoch may repeat after the store has lost a tail: the
// prefix then distinguishes this owner's tail from another daemon's.
func (p *Partition) newWriteID() string {
	p.writes++
	return p.writeIDPrefix + strconv.FormatUint(p.writes, 10)
}

// newWriteIDPrefix sets the prefix of the write ids for a new takeover.
func (p *Partition) newWriteIDPrefix() {
	p.writeIDPrefix = fmt.Sprintf("%s-%016x%016x-", p.spec.Holder, p.rnd.Uint64(), p.rnd.Uint64())
}

// retryDelay counts a failure and returns the time until the call is repeated: an
// exponential backoff with jitter.
func (p *Partition) retryDelay() time.Duration {
	p.failures++
	d := min(minRetryDelay<<min(p.failures, 10), maxRetryDelay)
	return d/2 + time.Duration(p.rnd.Int64N(int64(d)))
}
