package member

import "time"

// writeGap is the least time between two writes of a summary.
const writeGap = time.Second

// publisher is the state of a table's writes to the store.
type publisher struct {
	op       uint64
	waiting  bool  // for an answer to op
	revision int64 // of the stored summary, as far as known
	written  uint64
	sent     uint64 // sequence of the write in flight
	readBack bool   // the last write has to be resolved
	next     time.Time
	deposed  bool
}

// Tick drops silent members and returns the store call that is due. It has to
// be called at NextWake, under a valid lease.
func (t *Table) Tick(now time.Time) []Action {
	t.ran(now)
	t.expire(now)
	p := &t.pub
	if p.deposed || p.waiting || now.Before(p.next) || (!p.readBack && p.written == t.sequence) {
		return nil
	}
	a := Action{kind: Read, key: Key(string(t.spec.DataCentre))}
	if !p.readBack {
		value, err := t.Summary().Encode()
		if err != nil {
			return nil
		}
		a.kind, a.revision, a.value, p.sent = Write, p.revision, value, t.sequence
	}
	p.op++
	a.op, p.waiting = p.op, true
	p.next = now.Add(writeGap)
	return []Action{a}
}

// WriteDone takes the answer to a Write, with the new revision.
func (t *Table) WriteDone(now time.Time, op uint64, s Status, revision int64) {
	t.ran(now)
	p := &t.pub
	if !p.waiting || op != p.op {
		return
	}
	p.waiting = false
	if s == OK {
		p.revision, p.written = revision, p.sent
		return
	}
	p.readBack, p.next = true, now
}

// ReadDone takes the answer to a Read.
func (t *Table) ReadDone(now time.Time, op uint64, s Status, value []byte, revision int64) {
	t.ran(now)
	p := &t.pub
	if !p.waiting || op != p.op {
		return
	}
	p.waiting = false
	switch s {
	case OK:
		// An unreadable summary is replaced: only leaders write it.
		stored, err := DecodeSummary(value)
		p.readBack, p.revision = false, revision
		switch {
		case err == nil && stored.epoch > t.spec.Epoch:
			p.deposed = true
		case err == nil && stored.epoch == t.spec.Epoch:
			p.written = stored.sequence
		}
	case NotFound:
		p.readBack, p.revision = false, 0
	}
}

// NextWake returns when Tick has to be called next. Half an interval lets the
// table tell a pause from the time between two calls.
func (t *Table) NextWake(now time.Time) time.Time {
	wake := now.Add(t.Interval() / 2)
	if t.nextDue.Before(wake) {
		wake = t.nextDue
	}
	p := &t.pub
	if !p.waiting && !p.deposed && (p.readBack || p.written != t.sequence) && p.next.Before(wake) {
		wake = p.next
	}
	if wake.Before(now) {
		return now
	}
	return wake
}
