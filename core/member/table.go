package member

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/types"
)

const (
	// maxMembers keeps a summary below the store's limit of 1 MB, with up to 120
	// bytes for each target.
	maxMembers = 8192
	// maxFormerMembers bounds how many former members a table remembers.
	maxFormerMembers = 4096
)

// ErrDeposed means that the store holds a summary of a later leader.
var ErrDeposed = errors.New("a later leader has written the member summary")

// TableSpec configures a Table.
type TableSpec struct {
	DataCentre types.DataCentre
	Epoch      uint64
	// Stored and Revision are the value and the revision of Key in the store; nil
	// and 0 if it does not exist.
	Stored   []byte
	Revision int64
	// Known is the leader's own view, which is used if it is newer than Stored:
	// the former leader may have announced changes that it could not write.
	Known Summary
}

// Table is the leader's list of the members of one data centre. It is not safe
// for concurrent use.
type Table struct {
	spec          TableSpec
	members       map[types.TargetID]*entry
	formerMembers map[types.TargetID]former
	formerOrder   []types.TargetID // targets in the order of their removal, also those that joined again
	sequence      uint64
	changes       []types.TargetID // targets of the last changes, the latest one last
	base          Summary          // the summary from which the table started, without records
	lastCall      time.Time
	nextDue       time.Time // no member times out before
	publisher     publisher
}

// entry is a member.
type entry struct {
	record
	interval time.Duration // as last sent to the member
	due      time.Time     // when it times out
}

// former is the last incarnation of a target and its process.
type former struct {
	incarnation uint64
	process     uint64
}

// NewTable returns the table of a new leader, which starts from the newer one of
// Stored and Known. It fails with ErrDeposed if that is not of a lower epoch, or
// with ErrSummary.
func NewTable(now time.Time, s TableSpec) (*Table, error) {
	start := s.Known
	if s.Stored != nil {
		stored, err := DecodeSummary(s.Stored)
		if err != nil {
			return nil, err
		}
		if stored.Newer(start) {
			start = stored
		}
	}
	if start.epoch >= s.Epoch {
		return nil, errors.Wrapf(ErrDeposed, "epoch %d, have %d", start.epoch, s.Epoch)
	}
	t := &Table{
		spec: s, members: make(map[types.TargetID]*entry, len(start.records)),
		formerMembers: map[types.TargetID]former{}, sequence: 1, lastCall: now,
		base:      Summary{dc: s.DataCentre, epoch: start.epoch, sequence: start.sequence},
		publisher: publisher{revision: s.Revision},
	}
	for _, r := range start.records {
		t.members[r.target.ID()] = &entry{record: r}
	}
	t.extendAll(now)
	return t, nil
}

// Len returns the number of members.
func (t *Table) Len() int { return len(t.members) }

// Sequence returns the sequence of the present summary, which grows with each
// change.
func (t *Table) Sequence() uint64 { return t.sequence }

// Interval returns the present heartbeat interval.
func (t *Table) Interval() time.Duration { return Interval(len(t.members)) }

// Deposed reports whether the store holds a summary of a later leader.
func (t *Table) Deposed() bool { return t.publisher.deposed }

// Join handles a daemon's announcement. It is refused if its target is not of this
// data centre, if its incarnation is outdated, or if the table is full.
func (t *Table) Join(now time.Time, j Join) JoinReply {
	t.noteCall(now)
	id := j.target.ID()
	last, known := t.lastIncarnation(id)
	reply := JoinReply{known: last.incarnation, epoch: t.spec.Epoch}
	switch {
	case id == "" || j.target.DataCentre() != t.spec.DataCentre:
		reply.refused = "not a target of this data centre"
		return reply
	case known && last.process != j.process && j.target.Incarnation() <= last.incarnation,
		known && j.target.Incarnation() < last.incarnation:
		reply.refused = "incarnation not newer than the known one"
		return reply
	}
	e := t.members[id]
	if e == nil {
		if len(t.members) >= maxMembers {
			reply.refused = "too many members"
			return reply
		}
		e = &entry{}
		t.members[id] = e
		delete(t.formerMembers, id)
		e.record = record(j)
		t.recordChange(id)
	} else if j.target.Newer(e.target) {
		e.record = record(j)
		t.recordChange(id)
	}
	t.extend(now, e)
	reply.known, reply.interval = e.target.Incarnation(), e.interval
	return reply
}

// Heartbeat handles a daemon's heartbeat or change of state.
func (t *Table) Heartbeat(now time.Time, h Heartbeat) HeartbeatReply {
	t.noteCall(now)
	reply := HeartbeatReply{status: Rejoin, interval: t.Interval(), epoch: t.spec.Epoch}
	e := t.members[h.id]
	if last, ok := t.lastIncarnation(h.id); ok && h.incarnation < last.incarnation {
		reply.status = Replaced
		return reply
	}
	if e == nil || h.incarnation != e.target.Incarnation() {
		return reply
	}
	if h.sequence > e.target.Sequence() {
		t.recordChange(h.id)
		e.target = withState(e.target, h.state, h.incarnation, h.sequence)
	}
	t.extend(now, e)
	reply.status = Accepted
	return reply
}

// Leave removes a member that is stopping. It reports false if the target is not a
// member of that incarnation.
func (t *Table) Leave(now time.Time, id types.TargetID, incarnation uint64) bool {
	t.noteCall(now)
	e := t.members[id]
	if e == nil || e.target.Incarnation() != incarnation {
		return false
	}
	t.remove(e)
	return true
}

// Summary returns the present state of all members.
func (t *Table) Summary() Summary {
	s := Summary{
		dc: t.spec.DataCentre, epoch: t.spec.Epoch, sequence: t.sequence,
		records: make([]record, 0, len(t.members)),
	}
	for _, e := range t.members {
		s.records = append(s.records, e.record)
	}
	slices.SortFunc(s.records, compareRecords)
	return s
}

// lastIncarnation returns the latest known incarnation of a target, and false if
// none is known.
func (t *Table) lastIncarnation(id types.TargetID) (former, bool) {
	if e := t.members[id]; e != nil {
		return former{incarnation: e.target.Incarnation(), process: e.process}, true
	}
	f, ok := t.formerMembers[id]
	return f, ok
}

// extend restarts the timeout of e, which has sent a message. The reply to it has
// to carry the interval.
func (t *Table) extend(now time.Time, e *entry) {
	e.interval = t.Interval()
	e.due = now.Add(timeout(e.interval))
	if e.due.Before(t.nextDue) {
		t.nextDue = e.due
	}
}

// noteCall records that the process is running. After a pause, in which it may
// have missed heartbeats, all timeouts start again.
func (t *Table) noteCall(now time.Time) {
	if now.Sub(t.lastCall) > t.Interval() {
		t.extendAll(now)
	}
	t.lastCall = now
}

// extendAll restarts the timeouts of all members.
func (t *Table) extendAll(now time.Time) {
	interval := t.Interval()
	t.nextDue = now.Add(timeout(interval))
	for _, e := range t.members {
		e.interval = max(e.interval, interval)
		e.due = now.Add(timeout(e.interval))
	}
}

// expire removes the members that have timed out.
func (t *Table) expire(now time.Time) {
	if now.Before(t.nextDue) {
		return
	}
	t.nextDue = now.Add(timeout(t.Interval()))
	for _, e := range t.members {
		if !now.Before(e.due) {
			t.remove(e)
		} else if e.due.Before(t.nextDue) {
			t.nextDue = e.due
		}
	}
}

// remove removes a member and remembers its incarnation.
func (t *Table) remove(e *entry) {
	id := e.target.ID()
	delete(t.members, id)
	t.recordChange(id)
	for len(t.formerOrder) >= maxFormerMembers {
		delete(t.formerMembers, t.formerOrder[0])
		t.formerOrder = t.formerOrder[1:]
	}
	t.formerMembers[id] = former{incarnation: e.target.Incarnation(), process: e.process}
	t.formerOrder = append(t.formerOrder, id)
}
