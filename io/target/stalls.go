package target

import (
	"net"
	"net/http/httptrace"
	"sync"
	"time"

	"trefoilthread/core/retry"
	"trefoilthread/core/stall"
)

// stalls follows the TCP connections to the target and closes those that have
// gone silent while others make progress. Calls on them fail at once.
type stalls struct {
	now func() time.Time

	mu      sync.Mutex
	tracker *stall.Tracker
	latency *retry.Hedger // used for its latency quantile only
	ids     map[net.Conn]stall.ConnID
	conns   map[stall.ConnID]net.Conn
	last    stall.ConnID

	after    time.Duration
	open     int       // requests that wait for an answer
	progress time.Time // of any connection
	delay    time.Duration
}

const (
	// quantile is the latency that a slow but working connection stays within.
	// It is above the 99 % of the design, because cutting a rare slow call that
	// works does more harm than noticing a silent connection later.
	quantile = 0.999
	// unknownLatency stands for it until enough calls have ended: nothing is
	// known then of what is usual for the target, so nothing is given up.
	unknownLatency = 10 * time.Minute
)

func newStalls(now func() time.Time, after time.Duration) *stalls {
	return &stalls{
		now: now, after: after, progress: now(), ids: map[net.Conn]stall.ConnID{}, conns: map[stall.ConnID]net.Conn{},
		tracker: stall.New(now(), stall.Options{Kind: stall.Target, StallAfter: after}),
		latency: retry.NewHedger(retry.HedgerOptions{Quantile: quantile}),
		delay:   unknownLatency,
	}
}

// exchange is one request on a connection.
type exchange struct {
	s    *stalls
	id   stall.ConnID
	conn net.Conn
}

// isStalled reports whether the connection was closed because it was silent.
func (e *exchange) isStalled() bool {
	e.s.mu.Lock()
	defer e.s.mu.Unlock()
	c, ok := e.conn.(*trackedConn)
	return ok && c.stalled
}

// trace returns the hooks of one request, and the exchange they fill in.
func (s *stalls) trace() (*httptrace.ClientTrace, *exchange) {
	ex := &exchange{s: s}
	return &httptrace.ClientTrace{
		GotConn:              func(info httptrace.GotConnInfo) { ex.begin(info.Conn) },
		GotFirstResponseByte: ex.received,
	}, ex
}

func (e *exchange) begin(c net.Conn) {
	s := e.s
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ok := s.ids[c]
	if !ok {
		s.last++
		id = s.last
		s.ids[c], s.conns[id] = id, c
	}
	e.id, e.conn = id, c
	if s.open++; s.open == 1 {
		s.progress = s.now()
	}
	s.tracker.Sent(s.now(), id, 1)
}

// received notes that a part of the answer has arrived.
func (e *exchange) received() {
	e.s.mu.Lock()
	defer e.s.mu.Unlock()
	e.s.progress = e.s.now()
	e.s.tracker.Progress(e.s.progress, e.id, 0)
}

// end notes that the request has ended, after took if its answer is whole. A
// request that broke off closes its connection.
func (e *exchange) end(whole bool, took time.Duration) {
	s := e.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.id == 0 {
		return
	}
	now := s.now()
	s.open--
	if !whole {
		s.forget(e.id)
		return
	}
	s.tracker.Progress(now, e.id, 1)
	s.latency.RecordLatency(now, took)
}

// silenceFactor times the latency quantile is silence that a slow target does
// not explain, as in core/stall.
const silenceFactor = 4

// needsEvidence reports whether all connections are silent for longer than is
// usual. Only progress on another connection can then tell silent connections
// from a slow target, and a full gate lets no call open one.
func (s *stalls) needsEvidence() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open > 0 && s.now().Sub(s.progress) > max(s.after, silenceFactor*s.delay)
}

func (s *stalls) forget(id stall.ConnID) {
	delete(s.ids, s.conns[id])
	delete(s.conns, id)
	s.tracker.Closed(id)
}

// check closes the connections that have stalled.
func (s *stalls) check() int {
	s.mu.Lock()
	now := s.now()
	s.delay = unknownLatency
	if q, ok := s.latency.Delay(now); ok {
		s.delay = q
	}
	s.tracker.SetLatencyQuantile(s.delay)
	var silent []net.Conn
	for _, id := range s.tracker.Check(now) {
		c := s.conns[id]
		if t, ok := c.(*trackedConn); ok {
			t.stalled = true
		}
		silent = append(silent, c)
		s.forget(id)
	}
	s.mu.Unlock()
	for _, c := range silent {
		// The request on it fails with this close, which is all that is wanted.
		_ = c.Close()
	}
	return len(silent)
}

// closed forgets a connection that the HTTP client has closed; the maps would
// grow with each new connection otherwise.
func (s *stalls) closed(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id, ok := s.ids[c]; ok {
		s.forget(id)
	}
}

// trackedConn reports its close.
type trackedConn struct {
	net.Conn
	once    sync.Once
	closed  func(net.Conn)
	stalled bool // guarded by stalls.mu
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.once.Do(func() { c.closed(c) })
	return c.Conn.Close()
}
