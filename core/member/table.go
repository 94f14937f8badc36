package member

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/types"
)

const (
	// maxMembers keeps a summary under the store's limit of 1 MB with targets
	// of up to 120 bytes.
	maxMembers = 8192
	// maxGone bounds the memory of former members.
	maxGone = 4096
)

// ErrDeposed means that the store holds a summary of a later leader.
var ErrDeposed = errors.New("a later leader has written the member summary")

// TableSpec lists the properties of a Table.
type TableSpec struct {
	DataCentre types.DataCentre
	Epoch      uint64
	// Stored and Revision are the value of Key in the store; nil and 0 if none.
	Stored   []byte
	Revision int64
	// Known is the leader's own view, used if it is newer than Stored: the
	// former leader may have announced changes that it could not write.
	Known Summary
}

// Table is the leader's list of the members of one data centre. It is not safe
// for concurrent use.
type Table struct {
	spec     TableSpec
	members  map[types.TargetID]*entry
	gone     map[types.TargetID]former
	order    []types.TargetID // gone, the oldest first
	sequence uint64
	log      []types.TargetID // of the last changes, the latest one last
	start    Summary          // what the table started from, without records
	lastRun  time.Time
	nextDue  time.Time // no member is due earlier
	pub      publisher
}

// entry is a member.
type entry struct {
	record
	interval time.Duration // as last told to the member
	due      time.Time     // when it is gone unless heard
}

// former is a member that is gone.
type former struct {
	incarnation uint64
	process     uint64
}

// NewTable returns the table of a new leader, which starts from the newer of
// the stored and its own summary. It fails with ErrDeposed or ErrSummary.
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
		gone: map[types.TargetID]former{}, sequence: 1, lastRun: now,
		start: Summary{dc: s.DataCentre, epoch: start.epoch, sequence: start.sequence},
		pub:   publisher{revision: s.Revision},
	}
	for _, r := range start.records {
		t.members[r.target.ID()] = &entry{record: r}
	}
	t.extendAll(now)
	return t, nil
}

// Len returns the number of members.
func (t *Table) Len() int { return len(t.members) }

// Sequence returns the number of changes so far; it rises with each one.
func (t *Table) Sequence() uint64 { return t.sequence }

// Interval returns the present heartbeat interval.
func (t *Table) Interval() time.Duration { return Interval(len(t.members)) }

// Deposed reports whether the store holds a summary of a later leader.
func (t *Table) Deposed() bool { return t.pub.deposed }

// Join takes a daemon's announcement.
func (t *Table) Join(now time.Time, j Join) JoinReply {
	t.ran(now)
	id := j.target.ID()
	last, known := t.last(id)
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
		delete(t.gone, id)
		e.record = record(j)
		t.changed(id)
	} else if j.target.Newer(e.target) {
		e.record = record(j)
		t.changed(id)
	}
	t.heard(now, e)
	reply.known, reply.interval = e.target.Incarnation(), e.interval
	return reply
}

// Heartbeat takes a daemon's heartbeat or change of state.
func (t *Table) Heartbeat(now time.Time, h Heartbeat) HeartbeatReply {
	t.ran(now)
	reply := HeartbeatReply{status: Rejoin, interval: t.Interval(), epoch: t.spec.Epoch}
	e := t.members[h.id]
	if last, ok := t.last(h.id); ok && h.incarnation < last.incarnation {
		reply.status = Replaced
		return reply
	}
	if e == nil || h.incarnation != e.target.Incarnation() {
		return reply
	}
	if h.sequence > e.target.Sequence() {
		t.changed(h.id)
		e.target = withState(e.target, h.state, h.incarnation, h.sequence)
	}
	t.heard(now, e)
	reply.status = Accepted
	return reply
}

// Leave drops a member that is stopping, and reports whether it was one.
func (t *Table) Leave(now time.Time, id types.TargetID, incarnation uint64) bool {
	t.ran(now)
	e := t.members[id]
	if e == nil || e.target.Incarnation() != incarnation {
		return false
	}
	t.drop(e)
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

// last returns the latest incarnation known of a target.
func (t *Table) last(id types.TargetID) (former, bool) {
	if e := t.members[id]; e != nil {
		return former{incarnation: e.target.Incarnation(), process: e.process}, true
	}
	f, ok := t.gone[id]
	return f, ok
}

// heard notes that e sent a message, and that its reply carries the interval.
func (t *Table) heard(now time.Time, e *entry) {
	e.interval = t.Interval()
	e.due = now.Add(timeout(e.interval))
	if e.due.Before(t.nextDue) {
		t.nextDue = e.due
	}
}

// ran notes that the leader runs. After a pause it has not heard what was sent
// meanwhile, so silence counts from now on.
func (t *Table) ran(now time.Time) {
	if now.Sub(t.lastRun) > t.Interval() {
		t.extendAll(now)
	}
	t.lastRun = now
}

func (t *Table) extendAll(now time.Time) {
	interval := t.Interval()
	t.nextDue = now.Add(timeout(interval))
	for _, e := range t.members {
		e.interval = max(e.interval, interval)
		e.due = now.Add(timeout(e.interval))
	}
}

// expire drops the members that have been silent for too long.
func (t *Table) expire(now time.Time) {
	if now.Before(t.nextDue) {
		return
	}
	t.nextDue = now.Add(timeout(t.Interval()))
	for _, e := range t.members {
		if !now.Before(e.due) {
			t.drop(e)
		} else if e.due.Before(t.nextDue) {
			t.nextDue = e.due
		}
	}
}

func (t *Table) drop(e *entry) {
	id := e.target.ID()
	delete(t.members, id)
	t.changed(id)
	for len(t.order) >= maxGone {
		delete(t.gone, t.order[0])
		t.order = t.order[1:]
	}
	t.gone[id] = former{incarnation: e.target.Incarnation(), process: e.process}
	t.order = append(t.order, id)
}
