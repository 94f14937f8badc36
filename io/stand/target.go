package stand

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Target is an HTTP server that stands in for a user's server.
type Target struct {
	opts      TargetOptions
	end       *endpoint
	client    *http.Client
	announcer *announcer

	mu       sync.Mutex
	rng      *rand.Rand
	faults   targetFaults
	stats    TargetStats
	keys     map[string]int
	requests map[string]int
	waiting  []chan struct{} // requests without a slot, first come first served
	log      loadLog
	probes   []time.Time // arrivals at /health and /load
	coldEnds time.Time
	crashed  chan struct{} // closed at a crash, ends running and stalled requests
	restart  *time.Timer
	closed   bool
}

// NewTarget returns a target that is not yet listening.
func NewTarget(o TargetOptions) *Target {
	o = o.withDefaults()
	t := &Target{
		opts:     o,
		rng:      rand.New(rand.NewPCG(o.Seed, 1)),
		keys:     map[string]int{},
		requests: map[string]int{},
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Slots}},
	}
	t.faults.slowdown = 1
	t.end = &endpoint{handler: http.HandlerFunc(t.serve), maxConns: o.Connections}
	return t
}

// Start listens on addr, for example "127.0.0.1:0", and begins to announce the
// target if it has a daemon beside it.
func (t *Target) Start(addr string) error {
	t.begin()
	if err := t.end.start(addr); err != nil {
		return err
	}
	if t.opts.DaemonAdmin != "" && t.announcer == nil {
		t.announcer = announce(t.opts.DaemonAdmin, t.announcement)
	}
	return nil
}

// begin sets what each start sets anew.
func (t *Target) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashed = make(chan struct{})
	t.coldEnds = time.Now().Add(t.opts.ColdStart)
	t.faults.draining = false
	t.noteLoad()
}

// Addr returns the address the target listens on.
func (t *Target) Addr() string { return t.end.address() }

// Name returns the name that appears in answers.
func (t *Target) Name() string {
	if t.opts.Name != "" {
		return t.opts.Name
	}
	return t.Addr()
}

// Close ends the announcements, the listener and all connections.
func (t *Target) Close() {
	t.mu.Lock()
	t.closed = true
	if t.restart != nil {
		t.restart.Stop()
	}
	t.mu.Unlock()
	if t.announcer != nil {
		t.announcer.close()
	}
	t.halt()
	t.client.CloseIdleConnections()
}

// Shutdown drains the target and takes new requests for another grace, in
// which the daemons learn of it; then it lets requests finish until ctx ends
// and closes the target.
func (t *Target) Shutdown(ctx context.Context, grace time.Duration) error {
	t.Drain()
	err := pause(ctx, grace)
	if err == nil {
		err = t.end.shutdown(ctx)
	}
	t.Close()
	return err
}

// Crash closes the listener and all connections at once and ends all requests,
// as the end of the process does. The records of runs stay.
func (t *Target) Crash() {
	if !t.halt() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Crashes++
	if t.opts.RestartAfter > 0 && !t.closed {
		t.restart = time.AfterFunc(t.opts.RestartAfter, func() {
			// Nobody can be told of a failure here; a test sees a target that
			// stays down.
			_ = t.Restart()
		})
	}
}

// halt stops the server and the running requests. It reports false if they
// were stopped already.
func (t *Target) halt() bool {
	t.mu.Lock()
	if t.crashed != nil {
		select {
		case <-t.crashed:
		default:
			close(t.crashed)
		}
	}
	t.mu.Unlock()
	return t.end.stop()
}

// Restart starts a crashed target on the same address, cold and not draining.
// It has no effect on a running or closed one.
func (t *Target) Restart() error {
	t.mu.Lock()
	closed := t.closed
	t.mu.Unlock()
	if closed || t.end.running() {
		return nil
	}
	t.begin()
	return t.end.start("")
}

// Runs returns how often requests with an idempotency key, or with a request
// id, began to run. Shed requests did not.
func (t *Target) Runs(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.keys[key], t.requests[key])
}

// Duplicates returns the idempotency keys that ran more than once.
func (t *Target) Duplicates() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]int{}
	for k, n := range t.keys {
		if n > 1 {
			out[k] = n
		}
	}
	return out
}

// Probes returns when calls of /health and /load arrived.
func (t *Target) Probes() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.probes)
}

// Stats returns the events so far.
func (t *Target) Stats() TargetStats {
	t.mu.Lock()
	s := t.stats
	s.Queued = len(t.waiting)
	t.mu.Unlock()
	t.end.mu.Lock()
	defer t.end.mu.Unlock()
	s.RefusedConnections, s.OpenConnections = t.end.refused, len(t.end.conns)
	return s
}

func (t *Target) announcement() (Announcement, bool) {
	if !t.end.running() {
		return Announcement{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	a := Announcement{
		Service: t.opts.Service, Address: t.end.address(), Slots: t.opts.Slots,
		Connections: t.opts.Connections, ColdStartMs: t.opts.ColdStart.Milliseconds(), State: "up",
	}
	if t.faults.draining {
		a.State = "draining"
	}
	return a, true
}
