package daemon

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"trefoilthread/core/lease"
	"trefoilthread/core/stage"
	"trefoilthread/core/types"
	"trefoilthread/io/wire"
)

// serveControl handles a control message of another daemon.
func (d *Daemon) serveControl(_ context.Context, head *wire.ControlHead) *wire.ControlReply {
	<-d.ready
	switch head.Kind {
	case wire.KindJoin:
		var m wire.Join
		return decoded(head, &m, func() (any, string) { return d.takeJoin(&m), "" })
	case wire.KindHeartbeat:
		var m wire.Heartbeat
		return decoded(head, &m, func() (any, string) { return d.takeHeartbeat(&m), "" })
	case wire.KindMembers:
		var m wire.Members
		return decoded(head, &m, func() (any, string) { return nil, d.takeMembers(&m) })
	case wire.KindConfigAt:
		var m wire.ConfigAt
		return decoded(head, &m, func() (any, string) {
			d.heardConfig(m.Sender, m.Version)
			return nil, ""
		})
	case wire.KindSuspects:
		var m wire.Suspects
		return decoded(head, &m, func() (any, string) { return d.takeSuspects(&m), "" })
	case wire.KindDrain:
		var m wire.Drain
		return decoded(head, &m, func() (any, string) { return d.takeDrain(&m) })
	case wire.KindConfig:
		var m wire.HaveConfig
		return decoded(head, &m, func() (any, string) { return d.takeHaveConfig(&m) })
	case wire.KindStatus:
		return d.takeStatus()
	}
	return &wire.ControlReply{Refused: "unknown kind of message " + head.Kind}
}

// decoded decodes the message of head into m and calls handle.
func decoded(head *wire.ControlHead, m any, handle func() (any, string)) *wire.ControlReply {
	if err := cbor.Unmarshal(head.Message, m); err != nil {
		return &wire.ControlReply{Refused: "malformed " + head.Kind + ": " + err.Error()}
	}
	msg, refused := handle()
	return reply(msg, refused)
}

func reply(msg any, refused string) *wire.ControlReply {
	r := &wire.ControlReply{Refused: refused}
	if msg == nil {
		return r
	}
	data, err := cbor.Marshal(msg)
	if err != nil {
		return &wire.ControlReply{Refused: err.Error()}
	}
	r.Message = data
	return r
}

// takeMembers takes over a summary that a leader pushes. A former leader of
// the own data centre is refused by its epoch; summaries carry epoch and
// sequence of their own, so their order does not matter.
func (d *Daemon) takeMembers(m *wire.Members) string {
	if types.DataCentre(m.Centre) == d.set.DataCentre() {
		d.mu.Lock()
		ok := d.fence.Admit(m.Epoch)
		d.mu.Unlock()
		if !ok {
			return "a later leader is known"
		}
		d.lead.events.Put(lease.LeaderHeard(m.Epoch))
	}
	if len(m.Delta) > 0 {
		return d.applyDelta(m.Delta)
	}
	if err := d.mergeSummary(m.Summary); err != nil {
		return err.Error()
	}
	return ""
}

// takeStatus tells the versions in force, as this leader knows them.
func (d *Daemon) takeStatus() *wire.ControlReply {
	l := d.leading()
	if l == nil {
		return &wire.ControlReply{Refused: errNotLeader}
	}
	rep := &wire.StatusReply{}
	for _, s := range l.statuses() {
		rep.DataCentres = append(rep.DataCentres, wire.DataCentreStatus{
			Name: string(s.Name()), InForce: s.InForce(), Members: s.Members(), Leader: string(s.Leader()),
		})
	}
	return reply(rep, "")
}

// statuses returns what this leader knows of all data centres.
func (l *leadership) statuses() []stage.DataCentreStatus {
	d := l.d
	type centre struct {
		members  int
		revision int64
	}
	d.mu.Lock()
	centres := map[types.DataCentre]centre{}
	for _, dc := range d.dir.DataCentres() {
		s := d.dir.Summary(dc)
		centres[dc] = centre{s.Len(), int64(s.Epoch())<<20 + int64(s.Sequence())}
	}
	d.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for dc, c := range centres {
		leader := l.others[dc].Holder()
		if dc == d.set.DataCentre() {
			leader = d.id
		}
		l.status.SetMembers(dc, c.revision, c.members, leader)
	}
	return l.status.DataCentres()
}
