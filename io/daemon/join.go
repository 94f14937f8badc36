package daemon

import (
	"trefoilthread/core/member"
	"trefoilthread/core/types"
	"trefoilthread/io/wire"
)

// takeJoin handles a daemon's announcement.
func (d *Daemon) takeJoin(m *wire.Join) wire.MemberReply {
	l := d.leading()
	if l == nil {
		return wire.MemberReply{Refused: errNotLeader}
	}
	l.mu.Lock()
	if l.table == nil {
		l.mu.Unlock()
		return wire.MemberReply{Refused: errNotReady}
	}
	before := l.table.Sequence()
	rep := l.table.Join(d.now(), member.NewJoin(m.Target.Core(), m.Process))
	changed := l.table.Sequence() != before
	l.mu.Unlock()
	if changed {
		l.membersChanged()
	}
	if rep.Refused() == "" {
		l.acknowledge(types.TargetID(m.Target.ID), m.Target.Incarnation, m.ConfigAt)
	}
	return wire.MemberReply{
		Epoch: rep.Epoch(), Interval: rep.Interval().Microseconds(), Known: rep.Known(), Refused: rep.Refused(),
		ConfigAt: d.config.Version(),
	}
}

// Refusals of membership messages.
const (
	errNotLeader = "not the leader of the data centre"
	errNotReady  = "leader has not read the member summary yet"
)

// takeHeartbeat handles a daemon's heartbeat.
func (d *Daemon) takeHeartbeat(m *wire.Heartbeat) wire.MemberReply {
	l := d.leading()
	if l == nil {
		return wire.MemberReply{Refused: errNotLeader}
	}
	id := types.TargetID(m.ID)
	l.mu.Lock()
	if l.table == nil {
		l.mu.Unlock()
		return wire.MemberReply{Refused: errNotReady}
	}
	t := types.NewTarget(types.TargetSpec{
		ID: id, Incarnation: m.Incarnation, Sequence: m.Sequence, State: types.TargetState(m.State),
	})
	before := l.table.Sequence()
	rep := l.table.Heartbeat(d.now(), member.NewHeartbeat(t))
	changed := l.table.Sequence() != before
	l.mu.Unlock()
	if changed {
		l.membersChanged()
	}
	if rep.Status() == member.Accepted {
		l.acknowledge(id, m.Incarnation, m.ConfigAt)
	}
	return wire.MemberReply{
		Epoch: rep.Epoch(), Interval: rep.Interval().Microseconds(), Status: uint8(rep.Status()),
		ConfigAt: d.config.Version(),
	}
}
