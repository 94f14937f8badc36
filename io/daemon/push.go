package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"trefoilthread/core/member"
	"trefoilthread/core/types"
	"trefoilthread/io/peer"
	"trefoilthread/io/wire"
)

const (
	// pushEvery repeats messages that did not arrive.
	pushEvery = time.Second
	// pushGap gathers changes that come together, such as a rack that restarts.
	pushGap     = 20 * time.Millisecond
	pushTimeout = time.Second
	// pushParallel bounds the messages under way.
	pushParallel = 16
)

// push tells members, and the leaders of other data centres, what they have
// not been told yet, until ctx ends.
func (l *leadership) push(ctx context.Context) {
	d := l.d
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.poke:
		case <-d.clock.After(pushEvery):
		}
		select {
		case <-ctx.Done():
			return
		case <-d.clock.After(pushGap):
		}
		if d.leading() != l {
			continue
		}
		g, gctx := errgroup.WithContext(ctx)
		g.SetLimit(pushParallel)
		enc := &encoder{data: map[step]encoded{}}
		for _, m := range l.due() {
			g.Go(func() error {
				l.tell(gctx, m, enc)
				return nil
			})
		}
		// The functions return no errors: a message that failed is due again.
		_ = g.Wait()
	}
}

// message is what one daemon is to be told.
type message struct {
	to       types.TargetID
	address  string
	state    *sentTo
	sums     []member.Summary
	told     []member.Summary // what it knows of each of sums
	configAt int64            // 0 if nothing is due
}

// due returns what each member and each other leader lacks.
func (l *leadership) due() []message {
	d := l.d
	version := d.config.Version()
	d.mu.Lock()
	var all []member.Summary
	for _, dc := range d.dir.DataCentres() {
		all = append(all, d.dir.Summary(dc))
	}
	own := d.dir.Summary(d.set.DataCentre())
	d.mu.Unlock()

	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stage == nil {
		return nil
	}
	behind := map[types.TargetID]bool{}
	for _, id := range l.stage.Behind(version) {
		behind[id] = true
	}
	var out []message
	for i := range own.Len() {
		t := own.Target(i)
		if t.ID() == d.id {
			continue
		}
		told, ok := l.sent[t.ID()]
		if !ok {
			continue
		}
		m := message{to: t.ID(), address: t.Address(), state: told}
		for _, s := range all {
			if old := told.summaries[s.DataCentre()]; s.Newer(old) {
				m.sums, m.told = append(m.sums, s), append(m.told, old)
			}
		}
		if behind[t.ID()] {
			m.configAt = version
		}
		if len(m.sums) > 0 || m.configAt > 0 {
			out = append(out, m)
		}
	}
	for dc, rec := range l.others {
		told, ok := l.othersTold[dc]
		if !ok {
			told = newSentTo(0)
			l.othersTold[dc] = told
		}
		if old := told.summaries[own.DataCentre()]; own.Newer(old) {
			out = append(out, message{
				to: rec.Holder(), address: rec.Address(), state: told,
				sums: []member.Summary{own}, told: []member.Summary{old},
			})
		}
	}
	return out
}

// tell sends one message; what arrived is not due again.
func (l *leadership) tell(ctx context.Context, m message, enc *encoder) {
	d := l.d
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	for i, s := range m.sums {
		msg := &wire.Members{Sender: d.node.Addr(), Centre: string(d.set.DataCentre()), Epoch: l.epoch}
		if err := enc.fill(msg, m.told[i], s); err != nil {
			d.log.WithError(err).Error("summary not encoded")
			return
		}
		err := d.node.Control(ctx, m.address, wire.KindMembers, msg, nil)
		if err != nil {
			d.log.WithError(err).WithField("member", m.to).Debug("summary not delivered")
		}
		if err != nil && !errors.Is(err, peer.ErrRefused) {
			l.failed(m)
			return
		}
		if err != nil {
			// A refused delta is followed by the whole summary.
			s = member.Summary{}
		}
		l.mu.Lock()
		m.state.summaries[m.sums[i].DataCentre()] = s
		l.mu.Unlock()
	}
	if m.configAt == 0 {
		return
	}
	msg := &wire.ConfigAt{Sender: d.node.Addr(), Epoch: l.epoch, Version: m.configAt}
	if err := d.node.Control(ctx, m.address, wire.KindConfigAt, msg, nil); err != nil {
		d.log.WithError(err).WithField("member", m.to).Debug("configuration version not delivered")
		l.failed(m)
	}
}

const (
	// dropAfter failed messages over at least dropTime a member is taken for
	// gone. Its missed heartbeats show it much later where members are many,
	// and until then no change of the configuration is in force.
	dropAfter = 3
	dropTime  = 3 * time.Second
)

// failed notes a message that did not arrive. A member that sends nothing
// either meanwhile is dropped; if it lives, its next heartbeat makes it join
// again.
func (l *leadership) failed(m message) {
	d := l.d
	l.mu.Lock()
	now := d.now()
	if m.state.failed == 0 {
		m.state.failing = now
	}
	m.state.failed++
	drop := m.state == l.sent[m.to] && m.state.failed >= dropAfter && now.Sub(m.state.failing) >= dropTime
	if drop {
		drop = l.table.Leave(now, m.to, m.state.incarnation)
	}
	l.mu.Unlock()
	if drop {
		d.log.WithField("member", m.to).Warn("member not reached, dropped")
		l.membersChanged()
	}
}
