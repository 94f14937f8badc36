package stand

import (
	"time"

	"trefoilthread/io/etcdpb"
)

// lease is a lease of a Store with the keys under it.
type lease struct {
	id      int64
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// grant makes a lease; an id of 0 lets the store choose one.
func (s *keyspace) grant(id, ttl int64) (*etcdpb.LeaseGrantResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] != nil {
		return nil, errLeaseExists()
	}
	for id == 0 || s.leases[id] != nil {
		s.nextLease++
		id = s.nextLease
	}
	ttl = max(ttl, 1)
	l := &lease{id: id, ttl: time.Duration(ttl) * time.Second, keys: map[string]struct{}{}}
	l.expires = s.now().Add(l.ttl)
	s.leases[id] = l
	s.wakeExpiry()
	return &etcdpb.LeaseGrantResponse{Header: s.header(), ID: id, TTL: ttl}, nil
}

// keepAlive renews a lease; a time to live of 0 means that it does not exist.
func (s *keyspace) keepAlive(id int64) *etcdpb.LeaseKeepAliveResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	resp := &etcdpb.LeaseKeepAliveResponse{Header: s.header(), ID: id}
	if l := s.leases[id]; l != nil && s.now().Before(l.expires) {
		l.expires = s.now().Add(l.ttl)
		resp.TTL = int64(l.ttl / time.Second)
	}
	return resp
}

// dropLease ends a lease and deletes its keys in one revision.
func (s *keyspace) dropLease(id int64) (*etcdpb.LeaseRevokeResponse, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return nil, false
	}
	s.drop(l)
	return &etcdpb.LeaseRevokeResponse{Header: s.header()}, true
}

// drop ends a lease. The lock must be held.
func (s *keyspace) drop(l *lease) {
	delete(s.leases, l.id)
	rev := s.rev + 1
	for k := range l.keys {
		s.remove(rev, s.keys[k])
	}
	if len(l.keys) > 0 {
		s.commit(rev)
	}
}

func (s *keyspace) wakeExpiry() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// expire ends leases when their time is over, until stop is closed.
func (s *keyspace) expire(stop <-chan struct{}) {
	for {
		var timer <-chan time.Time
		if d, ok := s.expireDue(); ok {
			timer = s.clock.After(d)
		}
		select {
		case <-stop:
			return
		case <-s.wake:
		case <-timer:
		}
	}
}

// expireDue ends the leases that are over and returns the time to the next.
func (s *keyspace) expireDue() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var next time.Time
	now := s.now()
	for _, l := range s.leases {
		if !now.Before(l.expires) {
			s.drop(l)
		} else if next.IsZero() || l.expires.Before(next) {
			next = l.expires
		}
	}
	return next.Sub(now), !next.IsZero()
}
