package claims

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"
)

// Partition is the state machine of one daemon for one partition of keys. It is
// not safe for concurrent use.
type Partition struct {
	spec    Spec
	rnd     *rand.Rand
	state   State
	reason  string
	notTill time.Time // no takeover before
	table   *table
	tickets uint64
	out     []Action
	ops     uint64

	// The tail: one call at a time.
	tailCall  call
	tailNext  time.Time // no call before
	resolving bool      // the last write has to be read back
	fails     int       // failed calls since the last success
	epoch     uint64
	revision  int64
	tenure    string // start of all write ids of this ownership
	writes    uint64
	writeID   string // of the last write
	raise     []byte // value of a takeover
	raised    Tail   // raise, decoded
	final     bool   // the last write releases the partition

	batch    []waiter // claims for the next write
	flight   []waiter // claims in the write that is not resolved
	unsealed []Hash   // durable claims that are in no confirmed segment

	segments []stored // in use, by number
	next     uint64   // number of the next segment
	seal     *seal
	loads    []*load
}

// call is a store call whose answer is awaited; op is 0 if there is none.
type call struct {
	op   uint64
	sent time.Time
}

// waiter is a Fresh claim that is not durable yet.
type waiter struct {
	hash   Hash
	ticket uint64
	at     time.Time
}

// NewPartition returns a released partition.
func NewPartition(now time.Time, s Spec) *Partition {
	s = s.withDefaults()
	return &Partition{
		spec: s, rnd: rand.New(rand.NewPCG(s.Seed[0], s.Seed[1])), table: newTable(now, s),
	}
}

// State returns what the partition is doing.
func (p *Partition) State() State { return p.state }

// Reason returns why the partition was last released, or "".
func (p *Partition) Reason() string { return p.reason }

// Epoch returns the epoch of the last ownership.
func (p *Partition) Epoch() uint64 { return p.epoch }

// Len returns the number of keys held.
func (p *Partition) Len() int { return len(p.table.keys) }

// Claim takes the claim of a key. A Fresh claim is written by the next Step.
func (p *Partition) Claim(now time.Time, h Hash) Verdict {
	if p.state != Active {
		return Verdict{answer: Refused, reason: "partition is " + p.state.String() + " here"}
	}
	if e, ok := p.table.keys[h]; ok {
		switch e.state {
		case known:
			return Verdict{answer: Known, response: p.table.responses[h]}
		case unknown:
			return Verdict{answer: UnknownOutcome}
		}
		return Verdict{answer: Running}
	}
	switch {
	case len(p.table.keys) >= p.spec.MaxKeys:
		return Verdict{answer: Refused, reason: "table of keys is full"}
	case len(p.unsealed)+len(p.flight)+len(p.batch) >= maxTail*p.spec.SealAt:
		return Verdict{answer: Refused, reason: "claims cannot be written to the store"}
	}
	p.tickets++
	p.table.put(now, h, pending)
	p.batch = append(p.batch, waiter{hash: h, ticket: p.tickets, at: now})
	return Verdict{answer: Fresh, ticket: p.tickets}
}

// Finish takes the response of a run. A run of an earlier ownership is ignored.
func (p *Partition) Finish(h Hash, ticket uint64, response []byte) {
	if p.ended(h, ticket) {
		p.table.keep(h, response)
	}
}

// FinishUnknown reports that a run ended without a known response.
func (p *Partition) FinishUnknown(h Hash, ticket uint64) {
	if p.ended(h, ticket) {
		p.table.set(h, unknown)
	}
}

// FinishNotRun reports proof that a request told to run did not, for example
// because its target refused it; its key may be claimed again.
func (p *Partition) FinishNotRun(h Hash, ticket uint64) {
	if p.ended(h, ticket) {
		p.table.forget(h)
	}
}

// ended reports whether ticket is the run in progress of h, and ends it.
func (p *Partition) ended(h Hash, ticket uint64) bool {
	if t, ok := p.table.tickets[h]; !ok || t != ticket {
		return false
	}
	delete(p.table.tickets, h)
	return true
}

// Step takes an event and returns the actions to be taken.
func (p *Partition) Step(now time.Time, ev Event) []Action {
	p.out = nil
	p.table.expire(now)
	p.refuseLate(now)
	p.apply(now, ev)
	p.timeOut(now)
	p.advanceTail(now)
	p.advanceLoads(now)
	p.advanceSeal(now)
	return p.out
}

func (p *Partition) apply(now time.Time, ev Event) {
	switch ev.kind {
	case acquire:
		if p.state == Released && !now.Before(p.notTill) {
			p.state, p.reason, p.tailNext, p.fails = Reading, "", now, 0
		}
	case abdicate:
		switch p.state {
		case Reading, Raising, Loading:
			p.release(now, "abdicated")
		case Active:
			p.state, p.seal = Leaving, nil
			p.refuse(p.batch, "partition moves to another daemon")
			p.batch = nil
		}
	default:
		p.answer(now, ev)
	}
}

// answer passes the answer of a store call to its part. An answer nobody waits
// for is late or repeated.
func (p *Partition) answer(now time.Time, ev Event) {
	switch {
	case ev.op == 0:
	case ev.op == p.tailCall.op:
		p.tailCall.op = 0
		if ev.kind == readDone {
			p.tailRead(now, ev)
		} else {
			p.tailWritten(now, ev)
		}
	case p.seal != nil && ev.op == p.seal.call.op:
		p.seal.call.op = 0
		p.sealAnswer(now, ev)
	default:
		p.loadAnswer(now, ev)
	}
}

// timeOut treats calls that were not answered in time as unknown.
func (p *Partition) timeOut(now time.Time) {
	late := func(c call) bool { return c.op != 0 && !now.Before(c.sent.Add(callTime)) }
	if late(p.tailCall) {
		ev := Event{kind: swapDone, op: p.tailCall.op, status: Unknown}
		if p.state == Reading || p.resolving {
			ev.kind = readDone
		}
		p.answer(now, ev)
	}
	if p.seal != nil && late(p.seal.call) {
		p.answer(now, Event{op: p.seal.call.op, status: Unknown})
	}
	for _, l := range p.loads {
		if late(l.call) {
			p.answer(now, Event{op: l.call.op, status: Unknown})
		}
	}
}

// release ends an ownership or a takeover. All waiting claims are refused.
func (p *Partition) release(now time.Time, reason string) {
	p.refuse(p.flight, reason)
	p.refuse(p.batch, reason)
	p.flight, p.batch, p.unsealed = nil, nil, nil
	p.segments, p.seal, p.loads = nil, nil, nil
	p.tailCall, p.resolving, p.final = call{}, false, false
	p.table = newTable(now, p.spec)
	p.state, p.reason = Released, reason
	p.notTill = now.Add(holdOff + time.Duration(p.rnd.Int64N(int64(2*holdOff))))
}

// refuse ends claims that are not durable, and forgets their keys.
func (p *Partition) refuse(ws []waiter, reason string) {
	for _, w := range ws {
		p.table.forget(w.hash)
		p.out = append(p.out, Action{kind: Refuse, hash: w.hash, ticket: w.ticket, reason: reason})
	}
}

// refuseLate refuses the claims that have waited too long. A later success of
// their write has no effect on them.
func (p *Partition) refuseLate(now time.Time) {
	p.flight = p.withoutLate(now, p.flight)
	p.batch = p.withoutLate(now, p.batch)
}

func (p *Partition) withoutLate(now time.Time, ws []waiter) []waiter {
	n := 0
	for n < len(ws) && now.Sub(ws[n].at) >= p.spec.ClaimTime {
		n++
	}
	p.refuse(ws[:n], "store did not confirm the claim in time")
	return ws[n:]
}

// send makes a store call.
func (p *Partition) send(now time.Time, a Action) call {
	p.ops++
	a.op = p.ops
	p.out = append(p.out, a)
	return call{op: a.op, sent: now}
}

// newWriteID returns an id that no other write carries. It starts with the
// ownership, so that a tail of the same epoch written by another daemon, after
// the store has lost a tail, is told from one's own.
func (p *Partition) newWriteID() string {
	p.writes++
	return p.tenure + strconv.FormatUint(p.writes, 10)
}

// newTenure starts the write ids of another takeover.
func (p *Partition) newTenure() {
	p.tenure = fmt.Sprintf("%s-%016x%016x-", p.spec.Holder, p.rnd.Uint64(), p.rnd.Uint64())
}

// retryWait returns the time until a failed call is repeated.
func (p *Partition) retryWait() time.Duration {
	p.fails++
	d := min(firstRetry<<min(p.fails, 10), lastRetry)
	return d/2 + time.Duration(p.rnd.Int64N(int64(d)))
}
