package lease_test

import (
	"time"

	"trefoilthread/core/lease"
)

// fakeStore is one key of the platform's store with its leases. Leases run out
// at the earliest moment allowed.
type fakeStore struct {
	revision, keyRevision int64
	value                 []byte
	keyLease, leases      int64
	until                 map[int64]time.Time
}

func (s *fakeStore) expire(now time.Time) {
	for id, t := range s.until {
		if !now.Before(t) {
			s.drop(id)
		}
	}
}

func (s *fakeStore) drop(id int64) {
	delete(s.until, id)
	if s.keyLease == id && s.value != nil {
		s.revision++
		s.value, s.keyLease, s.keyRevision = nil, 0, 0
	}
}

// do executes a call and returns its answer, and whether it has one.
func (s *fakeStore) do(now time.Time, a lease.Action) (lease.Event, bool) {
	switch a.Kind() {
	case lease.Read:
		if s.value == nil {
			return failed(a, lease.NotFound), true
		}
		return lease.ReadDone(a.Op(), lease.OK, s.value, s.keyRevision), true
	case lease.Grant:
		s.leases++
		s.until[s.leases] = now.Add(a.TTL())
		return lease.GrantDone(a.Op(), lease.OK, s.leases, a.TTL()), true
	case lease.Swap:
		if _, ok := s.until[a.Lease()]; !ok {
			return failed(a, lease.LeaseGone), true
		} else if s.value != nil {
			return failed(a, lease.Conflict), true
		}
		s.revision++
		s.value, s.keyLease, s.keyRevision = a.Value(), a.Lease(), s.revision
		return lease.SwapDone(a.Op(), lease.OK, s.revision), true
	case lease.Renew:
		if _, ok := s.until[a.Lease()]; !ok {
			return failed(a, lease.LeaseGone), true
		}
		s.until[a.Lease()] = now.Add(leaseTime)
		return lease.RenewDone(a.Op(), lease.OK, leaseTime), true
	}
	s.drop(a.Lease())
	return lease.Event{}, false
}

// failed returns an answer without result.
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
