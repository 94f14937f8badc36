package stand

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/time/rate"

	"trefoilthread/io/etcdpb"
)

// Store is an in-memory server of the etcd v3 API subset in io/etcdpb.
type Store struct {
	opts   StoreOptions
	space  *keyspace
	end    *endpoint
	stop   chan struct{}
	expiry sync.WaitGroup
	closed sync.Once

	mu     sync.Mutex
	slow   time.Duration
	lose   int
	counts StoreCounts
	writes *rate.Limiter
	reads  *rate.Limiter
}

// NewStore returns a store that is not yet listening.
func NewStore(o StoreOptions) *Store {
	o = o.withDefaults()
	s := &Store{
		opts:   o,
		space:  newKeyspace(o.Clock, o.History),
		stop:   make(chan struct{}),
		writes: limiter(o.WritesPerSecond),
		reads:  limiter(o.ReadsPerSecond),
	}
	mux := http.NewServeMux()
	// A message holds a value of up to 1 MB and its key; the rest is refused
	// by the size check of the transaction.
	limit := connect.WithReadMaxBytes(2 * maxValue)
	mux.Handle(etcdpb.NewKVHandler(kvService{s}, limit))
	mux.Handle(etcdpb.NewWatchHandler(watchService{s}, limit))
	mux.Handle(etcdpb.NewLeaseHandler(leaseService{s}, limit))
	s.end = &endpoint{handler: mux, tls: o.TLS}
	s.expiry.Go(func() { s.space.expire(s.stop) })
	return s
}

// limiter allows a tenth of a second's calls at once.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// Start listens on addr, for example "127.0.0.1:0".
func (s *Store) Start(addr string) error { return s.end.start(addr) }

// Addr returns the address the store listens on.
func (s *Store) Addr() string { return s.end.address() }

// Close stops the server and the expiry of leases.
func (s *Store) Close() {
	s.closed.Do(func() { close(s.stop) })
	s.end.stop()
	s.expiry.Wait()
}

// SetDown starts or ends an outage: new connections are refused and open ones
// are broken. Keys stay, and leases go on expiring. It fails if the port
// cannot be bound again.
func (s *Store) SetDown(down bool) error {
	if down {
		s.end.stop()
		return nil
	}
	if s.end.running() {
		return nil
	}
	return s.end.start("")
}

// SwallowOpen makes all open connections swallow bytes for ever, while new
// connections work. It returns their number.
func (s *Store) SwallowOpen() int { return s.end.swallowOpen() }

// SetSlow adds d to the time of each answer.
func (s *Store) SetSlow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = d
}

// SetResponseTime replaces the ordinary time of an answer.
func (s *Store) SetResponseTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opts.ResponseTime = d
}

// LoseAnswers makes the next n transactions that change a key take effect
// without an answer: their streams are reset.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

// ExpireLease expires a lease now, with the keys under it. It reports whether
// the lease existed.
func (s *Store) ExpireLease(id int64) bool {
	_, ok := s.space.dropLease(id)
	return ok
}

// Compact drops the events before the current revision, as an operator of the
// platform does from time to time.
func (s *Store) Compact() { s.space.compact() }

// Counts returns the calls so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// count registers a call and applies the rate limit l of its kind.
func (s *Store) count(l *rate.Limiter, kind func(*StoreCounts)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind(&s.counts)
	if !l.Allow() {
		s.counts.Rejected++
		return errTooMany()
	}
	return nil
}

// answer runs apply in the middle of the response time, so that a client that
// gives up may or may not have had its call take effect.
func (s *Store) answer(ctx context.Context, apply func() error) error {
	s.mu.Lock()
	half := (s.opts.ResponseTime + s.slow) / 2
	s.mu.Unlock()
	if err := pause(ctx, half); err != nil {
		return err
	}
	if err := apply(); err != nil {
		return err
	}
	return pause(ctx, half)
}

// loseAnswer reports whether the answer of this write is to be lost.
func (s *Store) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lose == 0 {
		return false
	}
	s.lose--
	s.counts.Lost++
	return true
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
