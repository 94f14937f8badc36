package lease_test

import (
	"time"

	"trefoilthread/core/lease"
)

// fakeStore is a store with one key and its leases. Leases end at the earliest
// moment allowed: when their time has passed since the store got the call.
type fakeStore struct {
	revision, keyRevision int64
	value                 []byte
	keyLease, lastLease   int64
	expiry                map[int64]time.Time
}

func (s *fakeStore) expire(now time.Time) {
	for id, t := range s.expiry {
		if !now.Before(t) {
			s.endLease(id)
		}
	}
}

func (s *fakeStore) endLease(id int64) {
	delete(s.expiry, id)
	if s.keyLease == id && s.value != nil {
		s.revision++
		s.value, s.keyLease, s.keyRevision = nil, 0, 0
	}
}

// execute executes a call and returns its answer, and false if it has none
// (Revoke).
func (s *fakeStore) execute(now time.Time, a lease.Action) (lease.Event, bool) {
	switch a.Kind() {
	case lease.Read:
		if s.value == nil {
			return failed(a, lease.NotFound), true
		}
		return lease.ReadDone(a.Op(), lease.OK, s.value, s.keyRevision), true
	case lease.Grant:
		s.lastLease++
		s.expiry[s.lastLease] = now.Add(a.TTL())
		return lease.GrantDone(a.Op(), lease.OK, s.lastLease, a.TTL()), true
	case lease.Swap:
		if _, ok := s.expiry[a.Lease()]; !ok {
			return failed(a, lease.LeaseGone), true
		} else if s.value != nil {
			return failed(a, lease.Conflict), true
		}
		s.revision++
		s.value, s.keyLease, s.keyRevision = a.Value(), a.Lease(), s.revision
		return lease.SwapDone(a.Op(), lease.OK, s.revision), true
	case lease.Renew:
		if _, ok := s.expiry[a.Lease()]; !ok {
			return failed(a, lease.LeaseGone), true
		}
		s.expiry[a.Lease()] = now.Add(leaseTime)
		return lease.RenewDone(a.Op(), lease.OK, leaseTime), true
	}
	s.endLease(a.Lease())
	return lease.Event{}, false
}

// failed returns an answer to a with a status other than OK.
func failed(a lease.Action, st lease.Status) lease.Event {
	switch a.Kind() {
	case lease.Read:
		return lease.ReadDone(a.Op(), st, nil, 0)
	case lease.Grant:
		return lease.GrantDone(a.Op(), st, 0, 0)
	case lease.Swap:
		return lease.SwapDone(a.Op(), st, 0)
	}
	return lease.RenewDone(a.Op(), st, 0)
}
