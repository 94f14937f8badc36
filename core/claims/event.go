package claims

type eventKind uint8

const (
	tick eventKind = iota
	acquire
	abdicate
	readDone
	swapDone
	grantDone
)

// Event is an input of a Partition's state machine. The zero value is Tick.
type Event struct {
	kind     eventKind
	op       uint64
	status   Status
	value    []byte
	revision int64
	lease    int64
}

// Tick reports that time has passed or that claims were made.
func Tick() Event { return Event{} }

// Acquire asks to take the partition over. It may be repeated; it has no effect
// unless the partition is Released, and none within a random time of 1 s to 3 s
// after it was released.
func Acquire() Event { return Event{kind: acquire} }

// Release asks to release the partition, because another daemon should own it.
// Claims that are not being written yet are refused.
func Release() Event { return Event{kind: abdicate} }

// ReadDone reports the result of the Read with number op: the value and its
// revision.
func ReadDone(op uint64, s Status, value []byte, revision int64) Event {
	return Event{kind: readDone, op: op, status: s, value: value, revision: revision}
}

// SwapDone reports the result of the Swap with number op: the new revision.
func SwapDone(op uint64, s Status, revision int64) Event {
	return Event{kind: swapDone, op: op, status: s, revision: revision}
}

// GrantDone reports the result of the Grant with number op: the id of the lease.
func GrantDone(op uint64, s Status, lease int64) Event {
	return Event{kind: grantDone, op: op, status: s, lease: lease}
}
