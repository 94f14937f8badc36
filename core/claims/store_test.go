package claims_test

import (
	"strings"
	"time"

	"trefoilthread/core/claims"
)

type item struct {
	value    []byte
	revision int64
	lease    int64
}

// fakeStore is the platform's store in memory, without faults; the tests add them.
type fakeStore struct {
	revision, leases int64
	items            map[string]item
	leaseExpiry      map[int64]time.Time
	tails            []claims.Tail // all tails that were written, in order
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[string]item{}, leaseExpiry: map[int64]time.Time{}}
}

func (s *fakeStore) expire(now time.Time) {
	for id, t := range s.leaseExpiry {
		if now.Before(t) {
			continue
		}
		delete(s.leaseExpiry, id)
		for k, it := range s.items {
			if it.lease == id {
				delete(s.items, k)
			}
		}
	}
}

// execute executes a store call and returns its answer.
func (s *fakeStore) execute(now time.Time, a claims.Action) claims.Event {
	it, ok := s.items[a.Key()]
	switch a.Kind() {
	case claims.Read:
		if !ok {
			return claims.ReadDone(a.Op(), claims.NotFound, nil, 0)
		}
		return claims.ReadDone(a.Op(), claims.OK, it.value, it.revision)
	case claims.Grant:
		s.leases++
		s.leaseExpiry[s.leases] = now.Add(a.TTL())
		return claims.GrantDone(a.Op(), claims.OK, s.leases)
	}
	if _, live := s.leaseExpiry[a.Lease()]; !live && a.Lease() != 0 {
		return claims.SwapDone(a.Op(), claims.LeaseGone, 0)
	}
	if it.revision != a.Revision() {
		return claims.SwapDone(a.Op(), claims.Conflict, 0)
	}
	s.revision++
	s.items[a.Key()] = item{value: a.Value(), revision: s.revision, lease: a.Lease()}
	if !strings.Contains(a.Key(), "/seg/") {
		t, err := claims.DecodeTail(a.Value())
		if err != nil {
			panic(err)
		}
		s.tails = append(s.tails, t)
	}
	return claims.SwapDone(a.Op(), claims.OK, s.revision)
}

// lostAnswer returns the answer of a call whose result is unknown.
func lostAnswer(a claims.Action) claims.Event {
	switch a.Kind() {
	case claims.Read:
		return claims.ReadDone(a.Op(), claims.Unknown, nil, 0)
	case claims.Grant:
		return claims.GrantDone(a.Op(), claims.Unknown, 0)
	}
	return claims.SwapDone(a.Op(), claims.Unknown, 0)
}
