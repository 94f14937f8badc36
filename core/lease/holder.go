package lease

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Holder is the state machine of one daemon, as candidate and as leader. It is
// not safe for concurrent use.
type Holder struct {
	spec    Spec
	rng     *rand.Rand
	phase   Phase
	actions []Action

	lastOp   uint64
	pending  call   // the call in flight other than renewals; op is 0 if none
	renewals []call // renewals in flight, the oldest first

	checkAt  time.Time // when a waiting candidate reads the key
	backoff  time.Duration
	maxEpoch uint64 // highest epoch known, also of former leaders
	leader   Record // record of the highest epoch known, if its value was seen

	lease     int64
	grantSent time.Time // when the grant of lease was sent
	deadline  time.Time // end of the lease less the margin
	renewAt   time.Time
	writeID   string
	epoch     uint64
	reason    string // why the last leadership or attempt ended
}

// call is a store call in flight.
type call struct {
	op   uint64
	sent time.Time
}

// NewHolder returns a candidate that has not read the key. Its first read is due
// after the delay of its rank.
func NewHolder(s Spec) *Holder {
	if s.LeaseTime <= 0 {
		s.LeaseTime = DefaultLeaseTime
	}
	return &Holder{spec: s, rng: rand.New(rand.NewPCG(s.Seed[0], s.Seed[1]))}
}

// MayAct reports whether the daemon may act as leader at now, and with which
// epoch.
func (h *Holder) MayAct(now time.Time) (epoch uint64, ok bool) {
	if h.phase != Held || !now.Before(h.deadline) {
		return 0, false
	}
	return h.epoch, true
}

// Phase returns the present phase. In Held the lease may have run out since the
// last Step; only MayAct checks that.
func (h *Holder) Phase() Phase { return h.phase }

// Reason returns why the last leadership or attempt ended, or "".
func (h *Holder) Reason() string { return h.reason }

// Leader returns the record of the leader with the highest epoch known. The
// record is empty if the epoch is known from a message only.
func (h *Holder) Leader() (Record, uint64) { return h.leader, h.maxEpoch }

// SetRank sets the rank, which changes with the members of the data centre.
func (h *Holder) SetRank(rank int) { h.spec.Rank = rank }

// Step handles an event and returns the store calls to make.
func (h *Holder) Step(now time.Time, ev Event) []Action {
	h.actions = nil
	if h.phase == Held && !now.Before(h.deadline) {
		h.giveUp(now, "lease time passed without renewal")
	}
	if h.checkAt.IsZero() {
		h.checkAt = now.Add(h.rankDelay())
	}
	h.apply(now, ev)
	h.expireCall(now)
	h.startDueCalls(now)
	return h.actions
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
	return h.pending.sent.Add(h.callTimeout())
}

func (h *Holder) apply(now time.Time, ev Event) {
	switch ev.kind {
	case leaderHeard:
		h.observeLeader(now, ev.epoch, nil)
	case keyObserved:
		h.observeLeader(now, uint64(ev.revision), ev.value)
	case keyDeleted:
		h.observeDeletion(now, uint64(ev.revision))
	case readDone:
		h.handleRead(now, ev)
	case grantDone:
		h.handleGrant(now, ev)
	case swapDone:
		h.handleSwap(now, ev)
	case renewDone:
		h.handleRenewal(now, ev)
	case resign:
		h.giveUp(now, "resigned")
		h.phase = Retired
	}
}

// expireCall handles a pending call without an answer in time as Unknown.
func (h *Holder) expireCall(now time.Time) {
	if h.pending.op == 0 || now.Before(h.pending.sent.Add(h.callTimeout())) {
		return
	}
	ev := Event{op: h.pending.op, status: Unknown}
	switch h.phase {
	case Checking, Resolving:
		h.handleRead(now, ev)
	case Granting:
		h.handleGrant(now, ev)
	case Creating:
		h.handleSwap(now, ev)
	}
}

// startDueCalls starts the reads and renewals that are due.
func (h *Holder) startDueCalls(now time.Time) {
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

// call adds a to the actions as the pending call.
func (h *Holder) call(now time.Time, a Action) {
	h.lastOp++
	a.op = h.lastOp
	h.pending = call{op: a.op, sent: now}
	h.actions = append(h.actions, a)
}

// completeCall reports whether ev answers the pending call, which then is no
// longer pending.
func (h *Holder) completeCall(ev Event) bool {
	if ev.op == 0 || ev.op != h.pending.op {
		return false
	}
	h.pending.op = 0
	return true
}

// giveUp ends a leadership or an attempt, revokes the lease, and returns to
// Waiting unless the holder has retired.
func (h *Holder) giveUp(now time.Time, reason string) {
	if h.lease != 0 {
		h.actions = append(h.actions, Action{kind: Revoke, lease: h.lease})
	}
	if h.phase != Retired {
		h.phase = Waiting
	}
	h.pending.op, h.renewals = 0, nil
	h.lease, h.writeID, h.epoch = 0, "", 0
	h.reason = reason
	h.checkAt = now.Add(h.rankDelay())
}

// nextWriteID returns an id that is unique among all writes, provided that
// Spec.Seed differs for each start of a process.
func (h *Holder) nextWriteID() string {
	return fmt.Sprintf("%s-%016x%016x", h.spec.ID, h.rng.Uint64(), h.rng.Uint64())
}

// callTimeout returns how long the answer to a call is awaited.
func (h *Holder) callTimeout() time.Duration { return h.spec.LeaseTime / renewDivisor }

// rankDelay returns how long the candidate leaves the key to those of a lower
// rank.
func (h *Holder) rankDelay() time.Duration {
	if h.spec.Rank >= maxRank {
		return maxRank*rankStep + h.jitter(h.spec.LeaseTime)
	}
	return time.Duration(h.spec.Rank)*rankStep + h.jitter(rankStep/2)
}

// jitter returns a random duration from 0 to limit.
func (h *Holder) jitter(limit time.Duration) time.Duration {
	return time.Duration(h.rng.Int64N(int64(limit) + 1))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
