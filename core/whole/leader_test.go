package whole_test

import (
	"time"

	"trefoilthread/core/claims"
	"trefoilthread/core/member"
	"trefoilthread/core/types"
)

// leader keeps the member table of one data centre. A replaced leader goes on
// until the store tells it so, as one that was paused does.
type leader struct {
	w     *world
	dc    types.DataCentre
	epoch uint64
	table *member.Table
	sent  member.Summary
	gone  bool
	turns int
}

// lead starts a leader with a higher epoch, from what the store has.
func (w *world) lead(dc types.DataCentre) {
	old := w.leaderOf(dc)
	l := &leader{w: w, dc: dc, epoch: 1}
	spec := member.TableSpec{DataCentre: dc, Epoch: 1}
	if old != nil {
		l.epoch = old.epoch + 1
		spec.Epoch, spec.Known = l.epoch, old.sent
		it := w.store.items[member.Key(string(dc))]
		spec.Stored, spec.Revision = it.value, it.revision
		w.after(nil, 2*time.Second, func() { old.gone = true })
	}
	table, err := member.NewTable(w.now, spec)
	if err != nil {
		w.oracle.fail("leader of %s: %v", dc, err)
		return
	}
	l.table = table
	for i, o := range w.leaders {
		if o.dc == dc {
			w.leaders[i] = l
		}
	}
	if old == nil {
		w.leaders = append(w.leaders, l)
	}
	l.work()
}

func (w *world) leaderOf(dc types.DataCentre) *leader {
	for _, l := range w.leaders {
		if l.dc == dc {
			return l
		}
	}
	return nil
}

// leaderMessage brings a message to or from a leader, with its faults.
func (w *world) leaderMessage(deliver func()) {
	switch w.memberFaults.next() {
	case notSent, lostRequest, lostReply:
	case late, lateReply:
		w.after(nil, 2*time.Second, deliver)
	case repeated:
		w.after(nil, otherCentre, deliver)
		w.after(nil, time.Second, deliver)
	default:
		w.after(nil, otherCentre, deliver)
	}
}

// hear takes a heartbeat, or a join until one was taken. It reports whether
// the daemon is a member.
func (l *leader) hear(t types.Target, process uint64, joined bool) bool {
	if joined {
		return l.table.Heartbeat(l.w.now, member.NewHeartbeat(t)).Status() == member.Accepted
	}
	return l.table.Join(l.w.now, member.NewJoin(t, process)).Refused() == ""
}

// work writes and announces the summary.
func (l *leader) work() {
	w := l.w
	if l.gone || l.table.Deposed() {
		return
	}
	for _, a := range l.table.Tick(w.now) {
		l.perform(a)
	}
	l.turns++
	if s := l.table.Summary(); l.turns%10 == 0 || s.Newer(l.sent) {
		l.sent = s
		for _, n := range w.nodes {
			if w.cut && n.dc != l.dc {
				continue
			}
			w.leaderMessage(func() {
				if n.proc != nil {
					p := n.proc
					w.after(p, 0, func() { p.learn(s) })
				}
			})
		}
	}
	w.after(nil, 100*time.Millisecond, l.work)
}

func (l *leader) perform(a member.Action) {
	w := l.w
	w.after(nil, storeDelay, func() {
		if a.Kind() == member.Read {
			it, st := w.store.get(a.Key())
			l.table.ReadDone(w.now, a.Op(), memberStatus(st), it.value, it.revision)
			return
		}
		rev, st := w.store.swap(a.Key(), a.Revision(), a.Value(), 0)
		l.table.WriteDone(w.now, a.Op(), memberStatus(st), rev)
	})
}

func memberStatus(s claims.Status) member.Status {
	return map[claims.Status]member.Status{
		claims.OK: member.OK, claims.NotFound: member.NotFound, claims.Conflict: member.Conflict,
		claims.Unknown: member.Unknown, claims.LeaseGone: member.Unknown,
	}[s]
}
