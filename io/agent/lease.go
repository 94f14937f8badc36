package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/io/store"
)

const (
	// leasePerAgent bounds the renewals of all agents together to 100 a
	// second: the lease grows with their number.
	leasePerAgent = 30 * time.Millisecond
	// minLeaseTime is the shortest lease of a record. Others learn of an
	// agent's end by their calls, so it may be long.
	minLeaseTime = 10 * time.Second
	// renewals is the number of renewals in the time of a lease.
	renewals = 3
)

// grant makes sure there is a lease. That of an earlier start is taken over: a
// renewal is cheaper than a write, and after a loss of all VMs all agents need
// a lease at the same time.
func (r *register) grant(ctx context.Context) error {
	if r.lease != 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTime)
	defer cancel()
	if r.former != 0 {
		sent := r.clock.Now()
		ttl, err := r.store.Renew(ctx, r.former)
		if err == nil {
			r.lease, r.renewed, r.ttl, r.former = r.former, sent, ttl, 0
			return nil
		}
		if !errors.Is(err, store.ErrLeaseGone) {
			return errors.Wrap(err, "lease of an earlier start")
		}
		r.former = 0
	}
	r.ttl = max(r.minLease, minLeaseTime, time.Duration(r.size())*leasePerAgent*renewals)
	id, err := r.store.Grant(ctx, r.ttl)
	if err != nil {
		return errors.Wrap(err, "lease for the record")
	}
	r.lease, r.renewed = id, r.clock.Now()
	return nil
}

// hold renews the lease until the record has to be written again.
func (r *register) hold(ctx context.Context) {
	for {
		due := r.renewed.Add(r.ttl / renewals).Sub(r.clock.Now())
		select {
		case <-ctx.Done():
			return
		case <-r.dirty:
			r.mu.Lock()
			if !r.ok {
				r.known = false
			}
			r.mu.Unlock()
			return
		case <-r.clock.After(due):
		}
		if !r.renew(ctx) {
			return
		}
	}
}

// renew extends the lease; false if the record has to be written anew.
func (r *register) renew(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, storeCallTime)
	defer cancel()
	sent := r.clock.Now()
	ttl, err := r.store.Renew(bounded, r.lease)
	switch {
	case err == nil:
		r.note(nil)
		r.renewed, r.ttl = sent, ttl
		return true
	case errors.Is(err, store.ErrLeaseGone):
		r.log.WithField("lease", int64(r.lease)).Warn("lease of the record gone")
		r.lease, r.known = 0, false
		r.mu.Lock()
		r.ok = false
		r.mu.Unlock()
		return false
	}
	r.note(err)
	r.renewed = sent.Add(r.backoff() - r.ttl/renewals) // due again after the pause
	return true
}

// withdraw ends the lease and with it the record, after run was told to end.
func (r *register) withdraw(ctx context.Context) error {
	<-r.stopped
	if r.lease == 0 {
		return nil
	}
	return r.store.Revoke(ctx, r.lease)
}
