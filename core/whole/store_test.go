package whole_test

import (
	"time"

	"trefoilthread/core/claims"
)

const (
	storeDelay = time.Millisecond
	// storeLate exceeds the time after which core gives a store call up, so
	// that a late write takes effect after its claim was refused.
	storeLate = 2500 * time.Millisecond
)

type item struct {
	value    []byte
	revision int64
	lease    int64
}

// store is the platform's key-value store.
type store struct {
	revision, leases int64
	items            map[string]item
	until            map[int64]time.Time
	outage           bool
	ignoreConflict   bool // broken on purpose, to show that the oracle can fail
}

func newStore() *store { return &store{items: map[string]item{}, until: map[int64]time.Time{}} }

func (s *store) expire(now time.Time) {
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

func (s *store) get(key string) (item, claims.Status) {
	it, ok := s.items[key]
	switch {
	case s.outage:
		return item{}, claims.Unknown
	case !ok:
		return item{}, claims.NotFound
	}
	return it, claims.OK
}

func (s *store) swap(key string, at int64, value []byte, lease int64) (int64, claims.Status) {
	if s.outage {
		return 0, claims.Unknown
	}
	if _, live := s.until[lease]; !live && lease != 0 {
		return 0, claims.LeaseGone
	}
	if s.items[key].revision != at && !s.ignoreConflict {
		return 0, claims.Conflict
	}
	s.revision++
	s.items[key] = item{value: value, revision: s.revision, lease: lease}
	return s.revision, claims.OK
}

// claim makes a store call of a partition.
func (s *store) claim(now time.Time, a claims.Action) claims.Event {
	s.expire(now)
	switch a.Kind() {
	case claims.Read:
		it, st := s.get(a.Key())
		return claims.ReadDone(a.Op(), st, it.value, it.revision)
	case claims.Grant:
		if s.outage {
			return claims.GrantDone(a.Op(), claims.Unknown, 0)
		}
		s.leases++
		s.until[s.leases] = now.Add(a.TTL())
		return claims.GrantDone(a.Op(), claims.OK, s.leases)
	}
	rev, st := s.swap(a.Key(), a.Revision(), a.Value(), a.Lease())
	return claims.SwapDone(a.Op(), st, rev)
}

// storeCall brings a store call to the store and its answer back, to the
// process that asked. Lost answers never come: core has to time them out.
func (w *world) storeCall(p *proc, do func() func()) {
	f := w.storeFaults.next()
	if w.cut && p.n.dc != w.nodes[0].dc {
		f = lostRequest // the store is on the other side
	}
	delay := storeDelay
	switch f {
	case lostRequest, notSent:
		return
	case late:
		delay = storeLate
	}
	w.after(nil, delay, func() {
		took := do()
		back := storeDelay
		switch f {
		case lostReply:
			return
		case lateReply:
			back = storeLate
		case repeated:
			w.after(p, 3*storeDelay, took)
		}
		w.after(p, back, took)
	})
}
