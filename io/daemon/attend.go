package daemon

import (
	"context"
	"time"

	"trefoilthread/core/lease"
	"trefoilthread/core/member"
	"trefoilthread/core/types"
	"trefoilthread/io/wire"
)

const (
	// attendRetry is how soon a daemon without leader looks again.
	attendRetry   = 200 * time.Millisecond
	attendTimeout = time.Second
)

// attend announces the own target to the leader of the data centre and keeps
// its membership alive, until ctx ends.
func (d *Daemon) attend(ctx context.Context) {
	joined := false
	for {
		wait := attendRetry
		if rep, ok := d.report(ctx, joined); ok {
			joined, wait = d.tookReply(rep, joined)
		} else {
			joined = false
		}
		if !d.rest(ctx, wait, joined) {
			// A change of state is told at once.
			joined = false
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// watchers is how many candidates of lowest rank look for the leader in the
// store when they have not heard of it for a lease time.
const watchers = 3

// rest waits until the next report is due; it returns false if there is a
// change to be told before. Where members are many, heartbeats are further
// apart than the lease time. Then only the first candidates look at the store:
// the reads of all would grow with the fleet. A daemon whose last report failed
// trusts nobody, so that a leader lost together with the first candidates is
// replaced as well.
func (d *Daemon) rest(ctx context.Context, wait time.Duration, joined bool) bool {
	end := d.now().Add(wait)
	for {
		left := end.Sub(d.now())
		if left <= 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return true
		case <-d.beat:
			return false
		case <-d.clock.After(min(left, d.set.LeaseTime()/3)):
		}
		d.mu.Lock()
		_, epoch := d.holder.Leader()
		trusting := joined && d.rank >= watchers
		d.mu.Unlock()
		if trusting && epoch > 0 {
			d.lead.events.Put(lease.LeaderHeard(epoch))
		}
	}
}

// report sends one join or heartbeat to the leader.
func (d *Daemon) report(ctx context.Context, joined bool) (wire.MemberReply, bool) {
	now := d.now()
	d.mu.Lock()
	rec, _ := d.holder.Leader()
	_, leading := d.holder.MayAct(now)
	self := d.self
	d.mu.Unlock()
	if leading {
		if joined {
			return d.takeHeartbeat(d.heartbeat(self)), true
		}
		return d.takeJoin(d.joinMessage(self)), true
	}
	if rec.Address() == "" || rec.Holder() == d.id {
		return wire.MemberReply{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, attendTimeout)
	defer cancel()
	var rep wire.MemberReply
	kind, msg := wire.KindJoin, any(d.joinMessage(self))
	if joined {
		kind, msg = wire.KindHeartbeat, any(d.heartbeat(self))
	}
	if err := d.node.Control(ctx, rec.Address(), kind, msg, &rep); err != nil {
		d.logUnreached(err)
		return rep, false
	}
	d.heardConfig(rec.Address(), rep.ConfigAt)
	if rep.Refused == "" && d.askedEpoch != rep.Epoch {
		// Once for each leader: later suspects are sent to all members.
		d.askedEpoch = rep.Epoch
		d.askSuspects(ctx, rec.Address())
	}
	return rep, true
}

// unreachedEvery bounds the warnings of a daemon that does not reach its leader.
const unreachedEvery = 30 * time.Second

// logUnreached warns at the first failure and now and then later: a wrong
// certificate shows nowhere else.
func (d *Daemon) logUnreached(err error) {
	l := d.log.WithError(err)
	if now := d.now(); now.Sub(d.warned) >= unreachedEvery {
		d.warned = now
		l.Warn("leader not reached")
		return
	}
	l.Debug("leader not reached")
}

func (d *Daemon) joinMessage(self types.Target) *wire.Join {
	return &wire.Join{Target: wire.TargetOf(self), Process: d.process, ConfigAt: d.config.Version()}
}

func (d *Daemon) heartbeat(self types.Target) *wire.Heartbeat {
	return &wire.Heartbeat{
		ID: string(d.id), Incarnation: self.Incarnation(), Sequence: self.Sequence(), State: uint8(self.State()),
		ConfigAt: d.config.Version(),
	}
}

// tookReply returns whether the daemon is a member now and when to report next.
func (d *Daemon) tookReply(rep wire.MemberReply, joined bool) (bool, time.Duration) {
	if rep.Epoch > 0 {
		d.lead.events.Put(lease.LeaderHeard(rep.Epoch))
	}
	if rep.Refused != "" {
		d.log.WithField("reason", rep.Refused).Warn("join refused")
		d.raiseIncarnation(rep.Known)
		return false, attendRetry
	}
	if joined && member.HeartbeatStatus(rep.Status) != member.Accepted {
		return false, 0
	}
	return true, time.Duration(rep.Interval) * time.Microsecond
}

// raiseIncarnation makes this process newer than the one the leader knows
// under the same name.
func (d *Daemon) raiseIncarnation(known uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known < d.self.Incarnation() {
		return
	}
	d.self = types.NewTarget(types.TargetSpec{
		ID: d.id, Service: d.self.Service(), DataCentre: d.self.DataCentre(), Address: d.self.Address(),
		Slots: d.self.Slots(), Incarnation: known + 1, State: d.self.State(),
	})
	d.local.SetIncarnation(known + 1)
}

// beatNow makes attend report at once.
func (d *Daemon) beatNow() {
	select {
	case d.beat <- struct{}{}:
	default:
	}
}

// targetChanged takes over the state of the own target.
func (d *Daemon) targetChanged(s types.TargetState) {
	ann := d.local.Announcement()
	d.mu.Lock()
	d.self = types.NewTarget(types.TargetSpec{
		ID: d.id, Service: types.ServiceName(ann.Service), DataCentre: d.self.DataCentre(), Address: d.self.Address(),
		Slots: ann.Slots, Incarnation: d.self.Incarnation(), Sequence: d.self.Sequence() + 1, State: s,
	})
	d.mu.Unlock()
	d.log.WithField("state", s.String()).Info("target changed")
	d.beatNow()
}

// leave tells the leader that this daemon stops, so that it is dropped at once.
func (d *Daemon) leave(ctx context.Context) {
	d.mu.Lock()
	rec, _ := d.holder.Leader()
	hb := d.heartbeat(d.self)
	d.mu.Unlock()
	if rec.Address() == "" || rec.Holder() == d.id {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, attendTimeout)
	defer cancel()
	hb.State = uint8(types.Draining)
	if err := d.node.Control(ctx, rec.Address(), wire.KindHeartbeat, hb, nil); err != nil {
		d.log.WithError(err).Warn("leader not told of the stop; refusals will tell the callers")
	}
}
