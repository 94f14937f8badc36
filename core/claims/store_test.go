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

// fakeStore is the platform's store, with faults left to its user.
type fakeStore struct {
	revision, leases int64
	items            map[string]item
	until            map[int64]time.Time
	tails            []claims.Tail // all that were written
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[string]item{}, until: map[int64]time.Time{}}
}

func (s *fakeStore) expire(now time.Time) {
	for id, t := range s.until {
		if now.Before(t) {
			continue
		}
		delete(s.until, id)
		for k, it := range s.items {
			if it.lease == id {
				delete(s.items, k)
			}
		}
	}
}

// do executes a call and returns its answer.
func (s *fakeStore) do(now time.Time, a claims.Action) claims.Event {
	it, ok := s.items[a.Key()]
	switch a.Kind() {
	case claims.Read:
		if !ok {
			return claims.ReadDone(a.Op(), claims.NotFound, nil, 0)
		}
		return claims.ReadDone(a.Op(), claims.OK, it.value, it.revision)
	case claims.Grant:
		s.leases++
		s.until[s.leases] = now.Add(a.TTL())
		return claims.GrantDone(a.Op(), claims.OK, s.leases)
	}
	if _, live := s.until[a.Lease()]; !live && a.Lease() != 0 {
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

// failed returns an answer without result.
func failed(a claims.Action) claims.Event {
	switch a.Kind() {
	case claims.Read:
		return claims.ReadDone(a.Op(), claims.Unknown, nil, 0)
	case claims.Grant:
		return claims.GrantDone(a.Op(), claims.Unknown, 0)
	}
	return claims.SwapDone(a.Op(), claims.Unknown, 0)
}
