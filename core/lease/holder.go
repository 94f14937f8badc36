package lease

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Holder is the state machine of one daemon's leadership. It is not safe for
// concurrent use.
type Holder struct {
	spec  Spec
	rnd   *rand.Rand
	phase Phase
	out   []Action

	ops     uint64
	pending call   // the one call other than renewals whose answer is awaited
	renews  []call // renewals whose answers are awaited

	checkAt time.Time // when a waiting candidate reads the key
	backoff time.Duration
	seen    uint64 // highest epoch known
	leader  Record // record of the highest epoch known, if its value was seen

	lease    int64
	granted  time.Time // when the grant of lease was sent
	deadline time.Time // until when the lease is safe
	renewAt  time.Time
	writeID  string
	epoch    uint64
	reason   string // why the last leadership or attempt ended
}

// call is a store call whose answer is awaited.
type call struct {
	op   uint64
	sent time.Time
}

// NewHolder returns a candidate that knows nothing about the key yet.
func NewHolder(s Spec) *Holder {
	if s.LeaseTime <= 0 {
		s.LeaseTime = DefaultLeaseTime
	}
	return &Holder{spec: s, rnd: rand.New(rand.NewPCG(s.Seed[0], s.Seed[1]))}
}

// MayAct reports whether the daemon is leader at now, and its epoch.
func (h *Holder) MayAct(now time.Time) (epoch uint64, ok bool) {
	if h.phase != Held || !now.Before(h.deadline) {
		return 0, false
	}
	return h.epoch, true
}

// Phase returns what the holder is doing; Held may have run out, see MayAct.
func (h *Holder) Phase() Phase { return h.phase }

// Reason returns why the last leadership or attempt ended, or "".
func (h *Holder) Reason() string { return h.reason }

// Leader returns the record of the leader with the highest epoch known. The
// record is empty if only the epoch has been heard.
func (h *Holder) Leader() (Record, uint64) { return h.leader, h.seen }

// SetRank changes the rank, after a change of membership.
func (h *Holder) SetRank(rank int) { h.spec.Rank = rank }

// Step takes an event and returns the calls to make.
func (h *Holder) Step(now time.Time, ev Event) []Action {
	h.out = nil
	if h.phase == Held && !now.Before(h.deadline) {
		h.giveUp(now, "lease time passed without renewal")
	}
	if h.checkAt.IsZero() {
		h.checkAt = now.Add(h.rankWait())
	}
	h.apply(now, ev)
	h.timeOut(now)
	h.advance(now)
	return h.out
}

// NextWake returns when Step has to be called with Tick if no event comes
// earlier.
func (h *Holder) NextWake(now time.Time) time.Time {
	switch h.phase {
	case Retired:
		return now.Add(h.spec.LeaseTime)
	case Held:
		return earlier(h.renewAt, h.deadline)
	case Waiting:
		if h.checkAt.IsZero() {
			return now
		}
		return h.checkAt
	case Resolving:
		if h.pending.op == 0 {
			return h.checkAt
		}
	}
	return h.pending.sent.Add(h.callTime())
}

func (h *Holder) apply(now time.Time, ev Event) {
	switch ev.kind {
	case heard:
		h.see(now, ev.epoch, nil)
	case observed:
		h.see(now, uint64(ev.revision), ev.value)
	case gone:
		h.seeGone(now, uint64(ev.revision))
	case readDone:
		h.readAnswer(now, ev)
	case grantDone:
		h.grantAnswer(now, ev)
	case swapDone:
		h.swapAnswer(now, ev)
	case renewDone:
		h.renewAnswer(now, ev)
	case resign:
		h.giveUp(now, "resigned")
		h.phase = Retired
	}
}

// timeOut treats a call that was not answered in time as unknown.
func (h *Holder) timeOut(now time.Time) {
	if h.pending.op == 0 || now.Before(h.pending.sent.Add(h.callTime())) {
		return
	}
	ev := Event{op: h.pending.op, status: Unknown}
	switch h.phase {
	case Checking, Resolving:
		h.readAnswer(now, ev)
	case Granting:
		h.grantAnswer(now, ev)
	case Creating:
		h.swapAnswer(now, ev)
	}
}

// advance makes the calls that are due.
func (h *Holder) advance(now time.Time) {
	switch h.phase {
	case Waiting:
		if !now.Before(h.checkAt) {
			h.phase = Checking
			h.call(now, Action{kind: Read, key: Key(h.spec.DataCentre)})
		}
	case Resolving:
		if h.pending.op == 0 && !now.Before(h.checkAt) {
			h.call(now, Action{kind: Read, key: Key(h.spec.DataCentre)})
		}
	case Held:
		if !now.Before(h.renewAt) {
			h.renew(now)
		}
	}
}

// call sends a as the pending call.
func (h *Holder) call(now time.Time, a Action) {
	h.ops++
	a.op = h.ops
	h.pending = call{op: a.op, sent: now}
	h.out = append(h.out, a)
}

// answered reports whether ev answers the pending call, and ends that call.
func (h *Holder) answered(ev Event) bool {
	if ev.op == 0 || ev.op != h.pending.op {
		return false
	}
	h.pending.op = 0
	return true
}

// giveUp ends a leadership or an attempt and starts to wait.
func (h *Holder) giveUp(now time.Time, reason string) {
	if h.lease != 0 {
		h.out = append(h.out, Action{kind: Revoke, lease: h.lease})
	}
	if h.phase != Retired {
		h.phase = Waiting
	}
	h.pending.op, h.renews = 0, nil
	h.lease, h.writeID, h.epoch = 0, "", 0
	h.reason = reason
	h.checkAt = now.Add(h.rankWait())
}

// nextWriteID returns an id that no other write carries.
func (h *Holder) nextWriteID() string {
	return fmt.Sprintf("%s-%016x%016x", h.spec.ID, h.rnd.Uint64(), h.rnd.Uint64())
}

func (h *Holder) callTime() time.Duration { return h.spec.LeaseTime / renewShare }

// rankWait returns how long the candidate leaves the key to those before it.
func (h *Holder) rankWait() time.Duration {
	if h.spec.Rank >= maxRank {
		return maxRank*rankStep + h.jitter(h.spec.LeaseTime)
	}
	return time.Duration(h.spec.Rank)*rankStep + h.jitter(rankStep/2)
}

func (h *Holder) jitter(limit time.Duration) time.Duration {
	return time.Duration(h.rnd.Int64N(int64(limit) + 1))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
