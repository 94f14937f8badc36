package daemon

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/singleflight"

	"trefoilthread/core/admit"
	"trefoilthread/core/config"
	"trefoilthread/core/lease"
	"trefoilthread/core/member"
	"trefoilthread/core/poison"
	"trefoilthread/core/probe"
	"trefoilthread/core/types"
	"trefoilthread/io/entry"
	"trefoilthread/io/meter"
	"trefoilthread/io/peer"
	"trefoilthread/io/ring"
	"trefoilthread/io/setup"
	"trefoilthread/io/store"
	"trefoilthread/io/target"
)

// leaseCalls is the rate of store calls for leadership, reads and writes each.
// A leader makes one in 3 s; a candidate up to four one after the other.
const leaseCalls = 2

// fetchRing bounds the requests for newer documents that wait.
const fetchRing = 16

// Daemon is the process beside one target.
type Daemon struct {
	opts   Options
	set    *setup.Settings
	id     types.TargetID
	log    log.Interface
	clock  clockwork.Clock
	store  store.Store
	budget *store.Budget
	// leases has a call budget of its own, so that a rush of claims cannot cost
	// the leader its lease.
	leases store.Store
	seed   uint64

	node  *peer.Node
	local *target.Local
	flow  *entry.Flow
	meter *meter.Meter

	callers net.Listener
	admin   net.Listener
	servers []*http.Server

	config  *config.Current
	fetches *ring.Ring[string]
	flight  singleflight.Group

	process uint64
	beat    chan struct{}
	waits   chan struct{} // a call has begun to wait for the target
	lead    *lead
	ready   chan struct{} // closed when messages of other daemons can be handled
	board   *statusBoard

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// askedEpoch is the leader whose suspects are known; attend owns it and warned.
	askedEpoch uint64
	warned     time.Time // last warning that the leader is not reached

	// mu guards the membership state below.
	mu     sync.Mutex
	holder *lease.Holder
	fence  lease.Fence
	dir    *member.Directory
	rank   int // among the candidates for leadership
	self   types.Target
	led    *leadership
	owners map[int]types.Target // by partition, nil when to be computed
	peers  map[string]bool      // addresses of the daemons known

	poisonMu sync.Mutex
	poison   *poison.Table

	probeMu sync.Mutex
	probes  *probe.Budget

	keepMu  sync.Mutex
	keepers map[int]*keeper
}

// New returns a daemon that has not started.
func New(o Options) (*Daemon, error) {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	var err error
	if o.Seed == 0 {
		if o.Seed, err = randomUint64(); err != nil {
			return nil, err
		}
	}
	s := o.Settings
	d := &Daemon{
		opts: o, set: s, id: s.ID(), clock: o.Clock, seed: o.Seed,
		budget: store.NewBudget(store.BudgetOptions{
			WritesPerSecond: s.StoreWrites(), ReadsPerSecond: s.StoreReads(),
			WriteBurst: int(s.StoreWrites()) + 1, ReadBurst: int(s.StoreReads()) + 2, Clock: o.Clock,
		}),
		leases: store.Budgeted(o.Store, store.NewBudget(store.BudgetOptions{
			WritesPerSecond: leaseCalls, ReadsPerSecond: leaseCalls, Clock: o.Clock,
		})),
		log:     o.Log.WithFields(log.Fields{"dataCentre": s.DataCentre(), "daemon": s.ID()}),
		meter:   meter.New(),
		config:  config.NewCurrent(),
		fetches: ring.New[string](fetchRing),
		beat:    make(chan struct{}, 1),
		waits:   make(chan struct{}, 1),
		ready:   make(chan struct{}),
		keepers: map[int]*keeper{},
	}
	d.store = store.Budgeted(o.Store, d.budget)
	if d.process, err = randomUint64(); err != nil {
		return nil, err
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.lead = newLead(d)
	d.board = newStatusBoard()
	d.flow = entry.NewFlow(d.flowOptions())
	return d, nil
}

func randomUint64() (uint64, error) {
	var b [8]byte
	if _, err := crand.Read(b[:]); err != nil {
		return 0, errors.Wrap(err, "random number")
	}
	return binary.LittleEndian.Uint64(b[:]), nil
}

func (d *Daemon) now() time.Time { return d.clock.Now() }

// Start opens the sockets and begins all tasks.
func (d *Daemon) Start() error {
	if err := d.listen(); err != nil {
		d.cancel()
		d.closeSockets()
		return err
	}
	// Wall-clock milliseconds only make a first guess that is usually higher
	// than the incarnation before; the leader corrects a guess that is not.
	incarnation := uint64(d.now().UnixMilli())
	d.self = types.NewTarget(types.TargetSpec{
		ID: d.id, DataCentre: d.set.DataCentre(), Address: d.node.Addr(), Incarnation: incarnation, State: types.Down,
	})
	d.probes = probe.New(d.now(), probe.Options{})
	d.poison = poison.New(poison.Options{Target: d.id, Incarnation: d.process})
	d.local = target.New(target.Options{
		Gate:        admit.Options{Queue: d.set.Queue(), UrgentShare: d.set.UrgentShare()},
		Incarnation: incarnation,
		StallAfter:  d.set.StallAfter(),
		Clock:       d.clock,
		Log:         d.log,
		Changed:     d.targetChanged,
		Limits:      d.limits,
		Enter:       d.enter,
		Leave:       d.left,
		Died:        d.targetDied,
		Grant:       d.grantProbe,
		Waits:       func() { signal(d.waits) },
		ConfigAt:    d.config.Version,
	})
	d.holder = lease.NewHolder(lease.Spec{
		DataCentre: d.set.DataCentre(), ID: d.id, Address: d.node.Addr(), LeaseTime: d.set.LeaseTime(),
		Rank: lease.Rank(d.set.DataCentre(), nil, d.id), Seed: [2]uint64{d.seed, d.process},
	})
	d.dir = member.NewDirectory()
	close(d.ready)
	d.task(d.lead.run)
	d.task(d.attend)
	d.task(d.fetchDocuments)
	d.task(d.watchdog)
	d.task(d.checkAlive)
	d.task(d.renewIdentity)
	d.task(d.reportGauges)
	d.task(d.followStatus)
	d.serve()
	d.log.WithFields(log.Fields{
		"callers": d.CallerAddr(), "peers": d.node.Addr(), "local": d.LocalAddr(),
	}).Info("daemon started")
	return nil
}

// wakeTimer returns a timer for the time at which a state machine wants to be
// stepped. The lower bound keeps a wake-up in the past from spinning.
func (d *Daemon) wakeTimer(now, wake time.Time) clockwork.Timer {
	return d.clock.NewTimer(max(wake.Sub(now), time.Millisecond))
}

// task runs f in a goroutine that Stop waits for.
func (d *Daemon) task(f func(context.Context)) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f(d.ctx)
	}()
}

// CallerAddr returns the address for callers.
func (d *Daemon) CallerAddr() string { return d.callers.Addr().String() }

// LocalAddr returns the address for announcements, operators and metrics.
func (d *Daemon) LocalAddr() string { return d.admin.Addr().String() }

// PeerAddr returns the address for other daemons.
func (d *Daemon) PeerAddr() string { return d.node.Addr() }

// stopGrace is the time for the others to hear of the drain. Until then calls
// for keys that this daemon keeps still arrive and are served.
const stopGrace = 300 * time.Millisecond

// Stop drains the target, waits for its calls and the callers' calls until ctx
// ends, and closes the daemon. It returns ctx's error if calls were cut off.
func (d *Daemon) Stop(ctx context.Context) error {
	d.log.Info("stopping")
	d.local.Drain(true)
	d.leave(ctx)
	err := d.waitIdle(ctx)
	for _, s := range d.servers {
		if serr := s.Shutdown(ctx); err == nil {
			err = serr
		}
	}
	if werr := d.waitIdle(ctx); err == nil {
		err = werr
	}
	d.Kill()
	return err
}

// waitIdle waits until nobody has sent anything for stopGrace and all calls
// have ended.
func (d *Daemon) waitIdle(ctx context.Context) error {
	for quiet := time.Duration(0); quiet < stopGrace; quiet += idlePoll {
		if !d.local.Idle() || d.node.Serving() > 0 {
			quiet = 0
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.clock.After(idlePoll):
		}
	}
	return nil
}

const idlePoll = 10 * time.Millisecond

// Kill closes the daemon at once, as a crash would. Calls are cut off.
func (d *Daemon) Kill() {
	d.cancel()
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.closeSockets()
	d.wg.Wait()
	_ = d.meter.Close()
}

func (d *Daemon) closeSockets() {
	if d.callers != nil {
		_ = d.callers.Close()
	}
	if d.admin != nil {
		_ = d.admin.Close()
	}
	if d.node != nil {
		_ = d.node.Close()
	}
}
