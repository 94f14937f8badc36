package daemon

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"trefoilthread/core/lease"
	"trefoilthread/io/ring"
	"trefoilthread/io/store"
)

const (
	// leaseEvents bounds the answers of the store that wait for the lead task.
	// A full ring loses an answer, which core/lease treats like one that the
	// network lost.
	leaseEvents = 64
	storeCall   = 2 * time.Second
)

// lead drives the lease state machine of this daemon until ctx ends.
type lead struct {
	d      *Daemon
	events *ring.Ring[lease.Event]
}

func newLead(d *Daemon) *lead {
	return &lead{d: d, events: ring.New[lease.Event](leaseEvents)}
}

func (l *lead) run(ctx context.Context) {
	d := l.d
	for {
		now := d.now()
		d.mu.Lock()
		wake := d.holder.NextWake(now)
		d.mu.Unlock()
		t := d.wakeTimer(now, wake)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case ev := <-l.events.C():
			l.step(ctx, ev)
		case <-t.Chan():
			l.step(ctx, lease.Tick())
		}
		t.Stop()
	}
}

// step applies one event and starts the store calls it asks for.
func (l *lead) step(ctx context.Context, ev lease.Event) {
	d := l.d
	now := d.now()
	d.mu.Lock()
	_, was := d.holder.MayAct(now)
	before := d.holder.Phase()
	actions := d.holder.Step(now, ev)
	epoch, is := d.holder.MayAct(now)
	phase, reason := d.holder.Phase(), d.holder.Reason()
	d.mu.Unlock()
	if phase != before {
		d.log.WithFields(log.Fields{"phase": phase.String(), "reason": reason}).Debug("leadership changed phase")
	}
	for _, a := range actions {
		go l.perform(ctx, a)
	}
	if is && !was {
		d.log.WithField("epoch", epoch).Info("became leader of the data centre")
		d.becomeLeader(ctx, epoch)
	}
	if was && !is {
		d.log.Warn("no longer leader of the data centre")
		d.endLeadership()
	}
}

// perform makes one store call and hands back its result.
func (l *lead) perform(ctx context.Context, a lease.Action) {
	ctx, cancel := context.WithTimeout(ctx, storeCall)
	defer cancel()
	st := l.d.leases
	var ev lease.Event
	switch a.Kind() {
	case lease.Read:
		it, err := st.Get(ctx, a.Key())
		ev = lease.ReadDone(a.Op(), leaseStatus(err), it.Value, it.Revision)
	case lease.Grant:
		id, err := st.Grant(ctx, a.TTL())
		ev = lease.GrantDone(a.Op(), leaseStatus(err), int64(id), a.TTL())
	case lease.Swap:
		rev, err := st.CompareAndSwap(ctx, a.Key(), 0, a.Value(), store.LeaseID(a.Lease()))
		ev = lease.SwapDone(a.Op(), leaseStatus(err), rev)
	case lease.Renew:
		ttl, err := st.Renew(ctx, store.LeaseID(a.Lease()))
		ev = lease.RenewDone(a.Op(), leaseStatus(err), ttl)
	case lease.Revoke:
		if err := st.Revoke(ctx, store.LeaseID(a.Lease())); err != nil {
			l.d.log.WithError(err).Debug("lease not revoked; it will expire")
		}
		return
	}
	l.events.Put(ev)
}

func leaseStatus(err error) lease.Status {
	switch {
	case err == nil:
		return lease.OK
	case errors.Is(err, store.ErrNotFound):
		return lease.NotFound
	case errors.Is(err, store.ErrConflict):
		return lease.Conflict
	case errors.Is(err, store.ErrLeaseGone):
		return lease.LeaseGone
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrBudget):
		return lease.Unavailable
	}
	return lease.Unknown
}
