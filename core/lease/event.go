package lease

import "time"

type eventKind uint8

const (
	tick eventKind = iota
	leaderHeard
	keyObserved
	keyDeleted
	readDone
	grantDone
	swapDone
	renewDone
	resign
)

// Event is an input of Holder.Step. The zero value is Tick.
type Event struct {
	kind     eventKind
	op       uint64
	status   Status
	value    []byte
	revision int64
	lease    int64
	ttl      time.Duration
	epoch    uint64
}

// Tick makes the Holder handle timeouts and calls that are due.
func Tick() Event { return Event{kind: tick} }

// LeaderHeard reports a message from the leader of the given epoch.
func LeaderHeard(epoch uint64) Event { return Event{kind: leaderHeard, epoch: epoch} }

// KeyObserved reports the value and revision of the leader key, from a watch.
func KeyObserved(value []byte, revision int64) Event {
	return Event{kind: keyObserved, value: value, revision: revision}
}

// KeyDeleted reports that the leader key was deleted at the given store revision.
func KeyDeleted(revision int64) Event { return Event{kind: keyDeleted, revision: revision} }

// ReadDone answers a Read.
func ReadDone(op uint64, s Status, value []byte, revision int64) Event {
	return Event{kind: readDone, op: op, status: s, value: value, revision: revision}
}

// GrantDone answers a Grant with the lease and the lease time that the store gave.
func GrantDone(op uint64, s Status, lease int64, ttl time.Duration) Event {
	return Event{kind: grantDone, op: op, status: s, lease: lease, ttl: ttl}
}

// SwapDone answers a Swap with the revision of the created key.
func SwapDone(op uint64, s Status, revision int64) Event {
	return Event{kind: swapDone, op: op, status: s, revision: revision}
}

// RenewDone answers a Renew with the lease time that the store gave.
func RenewDone(op uint64, s Status, ttl time.Duration) Event {
	return Event{kind: renewDone, op: op, status: s, ttl: ttl}
}

// Resign asks the Holder to give up leadership and candidacy for good, because
// the daemon is stopping.
func Resign() Event { return Event{kind: resign} }
