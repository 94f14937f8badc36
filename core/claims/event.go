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

// Event is something that a Partition has to know. The zero value is Tick.
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
// while the partition is owned, or shortly after it was lost.
func Acquire() Event { return Event{kind: acquire} }

// Abdicate asks to give the partition up, because it belongs to another daemon.
func Abdicate() Event { return Event{kind: abdicate} }

// ReadDone answers a Read.
func ReadDone(op uint64, s Status, value []byte, revision int64) Event {
	return Event{kind: readDone, op: op, status: s, value: value, revision: revision}
}

// SwapDone answers a Swap with the new revision.
func SwapDone(op uint64, s Status, revision int64) Event {
	return Event{kind: swapDone, op: op, status: s, revision: revision}
}

// GrantDone answers a Grant.
func GrantDone(op uint64, s Status, lease int64) Event {
	return Event{kind: grantDone, op: op, status: s, lease: lease}
}
