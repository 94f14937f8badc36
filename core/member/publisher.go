package member

import "time"

// minWriteInterval is the minimum time between two writes of a summary.
const minWriteInterval = time.Second

// publisher is the state of a table's writes to the store.
type publisher struct {
	op              uint64
	inFlight        bool  // op is not answered yet
	revision        int64 // of the stored summary, as far as known
	writtenSequence uint64
	sentSequence    uint64 // sequence of the write in flight
	mustReadBack    bool   // the last write has to be resolved
	nextCall        time.Time
	deposed         bool
}

// Tick removes silent members and returns the store call that is due, if any. It
// has to be called at NextWake, while the lease of the leader is valid.
func (t *Table) Tick(now time.Time) []Action {
	t.noteCall(now)
	t.expire(now)
	p := &t.publisher
	if p.deposed || p.inFlight || now.Before(p.nextCall) || (!p.mustReadBack && p.writtenSequence == t.sequence) {
		return nil
	}
	a := Action{kind: Read, key: Key(string(t.spec.DataCentre))}
	if !p.mustReadBack {
		value, err := t.Summary().Encode()
		if err != nil {
			return nil
		}
		a.kind, a.revision, a.value, p.sentSequence = Write, p.revision, value, t.sequence
	}
	p.op++
	a.op, p.inFlight = p.op, true
	p.nextCall = now.Add(minWriteInterval)
	return []Action{a}
}

// WriteDone handles the answer to a Write, with the new revision. An answer to
// another call than the one in flight is ignored.
func (t *Table) WriteDone(now time.Time, op uint64, s Status, revision int64) {
	t.noteCall(now)
	p := &t.publisher
	if !p.inFlight || op != p.op {
		return
	}
	p.inFlight = false
	if s == OK {
		p.revision, p.writtenSequence = revision, p.sentSequence
		return
	}
	p.mustReadBack, p.nextCall = true, now
}

// ReadDone handles the answer to a Read. An answer to another call than the one in
// flight is ignored.
func (t *Table) ReadDone(now time.Time, op uint64, s Status, value []byte, revision int64) {
	t.noteCall(now)
	p := &t.publisher
	if !p.inFlight || op != p.op {
		return
	}
	p.inFlight = false
	switch s {
	case OK:
		// A summary that cannot be decoded is replaced, as only leaders write
		// the key.
		stored, err := DecodeSummary(value)
		p.mustReadBack, p.revision = false, revision
		switch {
		case err == nil && stored.epoch > t.spec.Epoch:
			p.deposed = true
		case err == nil && stored.epoch == t.spec.Epoch:
			p.writtenSequence = stored.sequence
		}
	case NotFound:
		p.mustReadBack, p.revision = false, 0
	}
}

// NextWake returns when Tick has to be called next. That is in half a heartbeat
// interval at the latest, so that the table can tell a pause of the process from
// the time between two calls.
func (t *Table) NextWake(now time.Time) time.Time {
	wake := now.Add(t.Interval() / 2)
	if t.nextDue.Before(wake) {
		wake = t.nextDue
	}
	p := &t.publisher
	if !p.inFlight && !p.deposed && (p.mustReadBack || p.writtenSequence != t.sequence) && p.nextCall.Before(wake) {
		wake = p.nextCall
	}
	if wake.Before(now) {
		return now
	}
	return wake
}
