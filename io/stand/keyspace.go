package stand

import (
	"bytes"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"trefoilthread/io/etcdpb"
)

// keyspace holds the keys, the leases and the recent events of a Store. Stored
// messages are never changed, so they can be read without the lock.
type keyspace struct {
	clock   clockwork.Clock
	history int

	mu        sync.Mutex
	rev       int64
	compacted int64 // events up to this revision are gone
	keys      map[string]*etcdpb.KeyValue
	events    []*etcdpb.Event // by revision
	changed   chan struct{}   // closed and replaced at each change
	leases    map[int64]*lease
	nextLease int64
	wake      chan struct{} // tells expire that the next deadline may be earlier
}

// newKeyspace starts at revision 1, as the published API does.
func newKeyspace(c clockwork.Clock, history int) *keyspace {
	return &keyspace{
		clock: c, history: history, rev: 1,
		keys: map[string]*etcdpb.KeyValue{}, changed: make(chan struct{}),
		leases: map[int64]*lease{}, nextLease: 1000, wake: make(chan struct{}, 1),
	}
}

// inRange applies the API's rule for a key and range end: no end is the single
// key, an end of one zero byte is everything from key on.
func inRange(k, key, end []byte) bool {
	switch {
	case len(end) == 0:
		return bytes.Equal(k, key)
	case len(end) == 1 && end[0] == 0:
		return bytes.Compare(k, key) >= 0
	}
	return bytes.Compare(k, key) >= 0 && bytes.Compare(k, end) < 0
}

// find returns the items of a range by key. The lock must be held.
func (s *keyspace) find(key, end []byte) []*etcdpb.KeyValue {
	if len(end) == 0 {
		if kv := s.keys[string(key)]; kv != nil {
			return []*etcdpb.KeyValue{kv}
		}
		return nil
	}
	var found []*etcdpb.KeyValue
	for _, kv := range s.keys {
		if inRange(kv.Key, key, end) {
			found = append(found, kv)
		}
	}
	slices.SortFunc(found, func(a, b *etcdpb.KeyValue) int { return bytes.Compare(a.Key, b.Key) })
	return found
}

func (s *keyspace) readRange(r *etcdpb.RangeRequest) (*etcdpb.RangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case len(r.Key) == 0:
		return nil, errNoKey()
	case r.Revision > s.rev:
		return nil, errFuture()
	case r.Revision > 0 && r.Revision < s.rev:
		return nil, errCompacted()
	}
	kvs := s.find(r.Key, r.RangeEnd)
	resp := &etcdpb.RangeResponse{Header: s.header(), Count: int64(len(kvs)), Kvs: kvs}
	if r.Limit > 0 && int64(len(kvs)) > r.Limit {
		resp.Kvs, resp.More = kvs[:r.Limit], true
	}
	return resp, nil
}

// header returns the response header. The lock must be held.
func (s *keyspace) header() *etcdpb.ResponseHeader {
	return &etcdpb.ResponseHeader{ClusterId: 1, MemberId: 1, RaftTerm: 1, Revision: s.rev}
}

// put writes a key at revision rev. The lock must be held.
func (s *keyspace) put(rev int64, r *etcdpb.PutRequest) (prev *etcdpb.KeyValue) {
	prev = s.keys[string(r.Key)]
	kv := &etcdpb.KeyValue{
		Key: r.Key, Value: r.Value, Lease: r.Lease,
		CreateRevision: rev, ModRevision: rev, Version: 1,
	}
	if prev != nil {
		kv.CreateRevision, kv.Version = prev.CreateRevision, prev.Version+1
		s.detach(prev)
	}
	if l := s.leases[r.Lease]; l != nil {
		l.keys[string(r.Key)] = struct{}{}
	}
	s.keys[string(r.Key)] = kv
	s.events = append(s.events, &etcdpb.Event{Type: etcdpb.Event_PUT, Kv: kv})
	return prev
}

// remove deletes a key at revision rev. The lock must be held.
func (s *keyspace) remove(rev int64, kv *etcdpb.KeyValue) {
	s.detach(kv)
	delete(s.keys, string(kv.Key))
	s.events = append(s.events, &etcdpb.Event{
		Type: etcdpb.Event_DELETE,
		Kv:   &etcdpb.KeyValue{Key: kv.Key, ModRevision: rev},
	})
}

// detach takes a key from its lease. The lock must be held.
func (s *keyspace) detach(kv *etcdpb.KeyValue) {
	if l := s.leases[kv.Lease]; l != nil {
		delete(l.keys, string(kv.Key))
	}
}

// commit makes the events of revision rev visible. The lock must be held.
func (s *keyspace) commit(rev int64) {
	s.rev = rev
	if over := len(s.events) - s.history; over > 0 {
		s.compacted = s.events[over-1].Kv.ModRevision
		// The events of one revision stay or go together.
		for over < len(s.events) && s.events[over].Kv.ModRevision == s.compacted {
			over++
		}
		s.events = slices.Clone(s.events[over:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *keyspace) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.events = s.rev, nil
}

// since returns the events of a range from revision from on, the revision up
// to which they are complete, and a channel closed at the next change. A
// compacted start is reported by the revision that is still available.
func (s *keyspace) since(from int64, key, end []byte) (batch []*etcdpb.Event, rev, compacted int64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from <= s.compacted {
		return nil, s.rev, s.compacted + 1, s.changed
	}
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Kv.ModRevision >= from })
	for _, ev := range s.events[first:] {
		if inRange(ev.Kv.Key, key, end) {
			batch = append(batch, ev)
		}
	}
	return batch, s.rev, 0, s.changed
}

func (s *keyspace) now() time.Time { return s.clock.Now() }
