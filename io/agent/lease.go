package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/io/store"
)

const (
	// leasePerAgent is the lease time per agent and renewal. The lease grows with the
	// number of agents, so that the renewals of all agents together stay below 100 a
	// second.
	leasePerAgent = 30 * time.Millisecond
	// minLeaseTime is the shortest lease of a record. It may be long, because other
	// agents notice the end of an agent when calls to it fail.
	minLeaseTime = 10 * time.Second
	// renewalsPerLease is the number of renewals within the time of a lease.
	renewalsPerLease = 3
)

// ensureLease makes sure that there is a lease. It first tries to renew the lease of an
// earlier start: a renewal costs the store less than a write, and after a power loss of
// all VMs all agents need a lease at the same time.
func (r *registration) ensureLease(ctx context.Context) error {
	if r.lease != 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	if r.previousLease != 0 {
		sent := r.clock.Now()
		ttl, err := r.store.Renew(ctx, r.previousLease)
		if err == nil {
			r.lease, r.renewed, r.ttl, r.previousLease = r.previousLease, sent, ttl, 0
			return nil
		}
		if !errors.Is(err, store.ErrLeaseGone) {
			return errors.Wrap(err, "renew lease of an earlier start")
		}
		r.previousLease = 0
	}
	r.ttl = max(r.minLease, minLeaseTime, time.Duration(r.agentCount())*leasePerAgent*renewalsPerLease)
	id, err := r.store.Grant(ctx, r.ttl)
	if err != nil {
		return errors.Wrap(err, "grant lease for the record")
	}
	r.lease, r.renewed = id, r.clock.Now()
	return nil
}

// keepLease renews the lease until the record has to be written again or ctx ends.
func (r *registration) keepLease(ctx context.Context) {
	for {
		due := r.renewed.Add(r.ttl / renewalsPerLease).Sub(r.clock.Now())
		select {
		case <-ctx.Done():
			return
		case <-r.dirty:
			r.mu.Lock()
			if !r.isCurrent {
				r.isRevKnown = false
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

// renew extends the lease. It returns false if the lease has expired, so that the record
// has to be written again.
func (r *registration) renew(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	sent := r.clock.Now()
	ttl, err := r.store.Renew(bounded, r.lease)
	switch {
	case err == nil:
		r.recordStoreResult(nil)
		r.renewed, r.ttl = sent, ttl
		return true
	case errors.Is(err, store.ErrLeaseGone):
		r.log.WithField("lease", int64(r.lease)).Warn("lease of the record gone")
		r.lease, r.isRevKnown = 0, false
		r.mu.Lock()
		r.isCurrent = false
		r.mu.Unlock()
		return false
	}
	r.recordStoreResult(err)
	r.renewed = sent.Add(r.backoff() - r.ttl/renewalsPerLease) // the next renewal is due after the backoff
	return true
}

// withdraw revokes the lease, which deletes the record. It waits until run has returned,
// so the context of run must have ended.
func (r *registration) withdraw(ctx context.Context) error {
	<-r.stopped
	if r.lease == 0 {
		return nil
	}
	return r.store.Revoke(ctx, r.lease)
}
