package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"trefoilthread/core/admit"
	"trefoilthread/core/types"
	"trefoilthread/io/wire"
)

// dialTimeout bounds connecting to the target on the same VM.
const dialTimeout = 500 * time.Millisecond

// Options configure a Local.
type Options struct {
	Gate        admit.Options
	Incarnation uint64
	// StallAfter is how long a connection to the target may be silent while
	// others make progress.
	StallAfter time.Duration
	Clock      clockwork.Clock
	Log        log.Interface
	// Changed is called, without locks held, when the target comes up, drains
	// or dies. It must not block.
	Changed func(types.TargetState)
	// Limits returns the slots and connections that the configuration allows a
	// target of the service, or false if it has none.
	Limits func(service string) (slots, conns int, ok bool)
	// Enter is asked before a request is handed to the target; an outcome other
	// than types.Done refuses it, with the reason.
	Enter func(fp types.Fingerprint) (types.Outcome, string)
	// Leave is told how a request that entered ended.
	Leave func(fp types.Fingerprint, how Ending)
	// Waits is called when a call begins to wait for a slot. It must not block.
	Waits func()
	// Grant asks the measurement budget for one probe.
	Grant func() bool
	// Died is told that the target's process is gone, before the callers of its
	// requests are. It may take up to a second.
	Died func()
	// ConfigAt returns the configuration version in force here. It may be nil.
	ConfigAt func() int64
}

// Local is the target beside this daemon. Its methods may be called from any
// goroutine.
type Local struct {
	opts    Options
	stalls  *stalls
	probing atomic.Bool

	mu       sync.Mutex
	http     *http.Client // nil until a target is announced
	gate     *admit.Gate
	waiting  waiters
	ann      Announcement
	slots    int // in force at the gate
	conns    int
	up       bool
	draining bool // by an operator or a stop of the daemon
	lastSeen time.Time
	inst     string
	running  int           // calls handed to the target
	dead     chan struct{} // closed when the present death has been reported
}

// New returns a Local that refuses all calls until a target is announced.
func New(o Options) *Local {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	l := &Local{opts: o, gate: admit.New(o.Gate), waiting: waiters{}}
	l.stalls = newStalls(l.now, o.StallAfter)
	return l
}

// client returns an HTTP client that opens at most conns connections and keeps
// all of them; net/http would keep two and open the others anew for each call.
func (l *Local) client(conns int) *http.Client {
	d := &net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: c, closed: l.stalls.closed}, nil
		},
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,
		WriteBufferSize:     4 << 10,
		ReadBufferSize:      4 << 10,
	}
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (l *Local) now() time.Time { return l.opts.Clock.Now() }

// Announce takes an announcement of the target. It fails when another target
// address is live at the same time.
func (l *Local) Announce(a Announcement) error {
	l.mu.Lock()
	if !l.up && l.running > 0 {
		// The calls of the dead process end first, so that their deaths are not
		// counted against the new one. The announcement will be repeated.
		l.mu.Unlock()
		return nil
	}
	was := l.state()
	restarted := l.up && a.Instance != "" && a.Instance != l.inst
	slots, conns := l.allowed(a)
	if !l.up || a.Address != l.ann.Address || slots != l.slots || conns != l.conns {
		o := l.opts.Gate
		o.Slots, o.Connections = slots, conns
		l.gate.SetOptions(o)
		l.waiting.deliver(l.gate.Tick(l.now()))
		if old := l.http; old != nil {
			old.CloseIdleConnections()
		}
		l.http = l.client(conns)
		l.slots, l.conns = slots, conns
	}
	l.ann, l.up, l.lastSeen, l.inst = a, true, l.now(), a.Instance
	l.applyDrain()
	is := l.state()
	l.mu.Unlock()
	if restarted {
		l.opts.Died()
	}
	if was != is || restarted {
		l.changed(is)
	}
	return nil
}

// allowed returns the smaller of what the target announces and what operators
// configured. A change of the configuration counts from the next announcement,
// a second later at most.
func (l *Local) allowed(a Announcement) (slots, conns int) {
	slots, conns = a.Slots, a.Connections
	if s, c, ok := l.opts.Limits(a.Service); ok {
		slots, conns = min(slots, s), min(conns, c)
	}
	return slots, conns
}

// Drain takes the target out of service, or back into it, until it is called
// again: a target that announces itself as up does not end it.
func (l *Local) Drain(on bool) {
	l.mu.Lock()
	was := l.state()
	l.draining = on
	l.applyDrain()
	is := l.state()
	l.mu.Unlock()
	if was != is {
		l.changed(is)
	}
}

func (l *Local) applyDrain() {
	if l.draining || l.ann.State == "draining" {
		l.waiting.deliver(l.gate.Drain(l.now()))
	} else {
		l.gate.Resume()
	}
}

func (l *Local) state() types.TargetState {
	switch {
	case !l.up:
		return types.Down
	case l.draining || l.ann.State == "draining":
		return types.Draining
	}
	return types.Up
}

func (l *Local) changed(s types.TargetState) {
	if l.opts.Changed != nil {
		l.opts.Changed(s)
	}
}

// SetIncarnation changes the number of this daemon's start, when the leader
// knows a higher one.
func (l *Local) SetIncarnation(n uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opts.Incarnation = n
}

// State returns whether the target takes calls.
func (l *Local) State() types.TargetState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state()
}

// Announcement returns the latest announcement.
func (l *Local) Announcement() Announcement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ann
}

// Silent returns how long ago the target last announced itself.
func (l *Local) Silent() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Sub(l.lastSeen)
}

// IsWaiting reports whether a call waits for a slot.
func (l *Local) IsWaiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) > 0
}

// Idle reports whether no call runs or waits.
func (l *Local) Idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gate.Idle()
}

// Report returns the load of the target as of now.
func (l *Local) Report() types.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.gate.Report()
	s.Incarnation = l.opts.Incarnation
	s.Draining = s.Draining || !l.up
	return types.NewReport(s)
}

// WireReport returns the load of the target for an answer.
func (l *Local) WireReport() wire.Report {
	r := l.Report()
	w := wire.Report{
		InFlight: r.InFlight(), Queued: r.Queued(), Limit: r.Limit(),
		Latency: r.Latency().Microseconds(), Draining: r.Draining(), Incarnation: r.Incarnation(),
	}
	if l.opts.ConfigAt != nil {
		w.ConfigAt = l.opts.ConfigAt()
	}
	return w
}
