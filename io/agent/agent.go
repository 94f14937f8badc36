package agent

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/cold"
	"trefoilthread/core/grace"
	"trefoilthread/core/types"
	"trefoilthread/core/vhost"
	"trefoilthread/io/crash"
	"trefoilthread/io/enrol"
	"trefoilthread/io/front"
	"trefoilthread/io/httpw"
	"trefoilthread/io/local"
	"trefoilthread/io/mesh"
	"trefoilthread/io/mirror"
	"trefoilthread/io/store"
	"trefoilthread/io/tokens"
)

// Options configure an Agent. All fields but Metrics and Listen are required.
type Options struct {
	Settings Settings
	Wire     Wire
	Store    store.Store
	Log      log.Interface
	Clock    clockwork.Clock
	// Elapsed returns the time since a fixed moment on a clock that counts the time in
	// which the machine is suspended, as SinceBoot does. The default is that of Clock.
	Elapsed func() time.Duration
	Scope   tally.Scope
	// Metrics serves Settings.Metrics. It is used only if that address is set.
	Metrics http.Handler
	// ReadyHandler and ControlHandler return the handlers of Settings.Ready (readiness
	// check) and Settings.Control (announcements of the target).
	ReadyHandler   func(a *Agent) http.Handler
	ControlHandler func(a *Agent) http.Handler
	// Listen opens the addresses of Settings; the default is TCP over IPv4. Tests pass
	// sockets that are already open, so that no other process can take their ports.
	Listen func(addr string) (net.Listener, error)
}

// Agent runs one daemon: it accepts requests of the callers on its VM, balances them
// over the targets of the other agents, and runs the calls of the other agents at the
// target on its VM.
type Agent struct {
	opts    Options
	log     log.Interface
	clock   clockwork.Clock
	store   store.Store
	metrics *metrics
	boot    uint64

	mirror       *mirror.Mirror
	table        *activeTable
	balancer     *balancer
	target       *localTarget
	registration *enrol.Registration
	cleaner      *enrol.Cleaner
	suspects     *crash.Suspects
	fresh        *mirror.Freshness
	quotas       *tokens.Quotas
	explainer    *explainer
	startQuotas  func() // called when there are customers
	client       *mesh.Client
	server       *mesh.Server
	front        *front.Server
	bodies       *httpw.Budget // memory of long bodies

	service atomic.Pointer[types.ServiceName]
	stop    atomic.Pointer[grace.Stop] // nil until the agent stops

	copied        chan struct{} // closed when all keys of the store are known
	isCopied      atomic.Bool   // copied is closed
	isSynced      atomic.Bool   // the records of all agents are known
	newerVersions chan int64    // configuration version that another agent has, newer than the one here
	tableReads    chan struct{} // holds one token if the configuration has to be read from the store
	tableWanted   atomic.Int64  // revision of the latest configuration that has to be read from the store
	tableApplied  atomic.Int64  // revision of the latest configuration that was decoded
	isTableLong   atomic.Bool   // the latest configuration was longer than longTableBytes, or too long to be sent
	decoded       atomic.Pointer[decodedTable]
	// isTableInvalid means that the store holds an invalid configuration while there is none
	// in force: others are asked for the one before.
	isTableInvalid atomic.Bool
	cancel         context.CancelFunc
	started        time.Time
	httpServers    []*http.Server
}

// New returns an agent that isn't running.
func New(o Options) *Agent {
	a := &Agent{
		opts: o, log: o.Log, clock: o.Clock, store: o.Store, boot: rand.Uint64(),
		metrics: newMetrics(o.Scope), newerVersions: make(chan int64, 1), tableReads: make(chan struct{}, 1),
		copied: make(chan struct{}),
	}
	a.bodies = httpw.NewBudget(int64(o.Settings.BodyMemory))
	a.SetService(o.Settings.Service)
	a.table = &activeTable{log: o.Log}
	a.fresh = mirror.NewFreshness(o.Settings.KeyRevocation, o.elapsed(), o.Scope)
	a.balancer = newBalancer(o.Settings, o.Clock, a.boot)
	a.suspects = crash.New(crash.Options{
		Self: o.Settings.Node, Boot: a.boot, Clock: o.Clock, Log: o.Log, Broadcast: a.broadcast,
	})
	a.target = newLocalTarget(localTargetOptions{
		clock: o.Clock, log: o.Log, metrics: a.metrics, wire: o.Wire, linkSpeed: o.Settings.Link, onChange: a.targetChanged, onPaceChange: a.publishLoad,
		presence: a.presence,
		service:  a.serviceInfo,
		stop:     a.stop.Load,
		probes:   newProbes(o.Clock.Now(), o.Settings.ProbesPerSecond),
		suspects: a.suspects, coldBound: cold.Bound{Overrun: o.Settings.ColdOverrun, Extra: o.Settings.ColdExtra},
		awaitCopy: a.awaitCopy, fresh: a.fresh,
		client: local.New(o.Settings.TargetAddr, local.Options{
			Belongs: o.Wire.Belongs, Clock: o.Clock, Limits: responseLimits(a.bodies), Dropped: a.recordDropped,
		}),
	})
	a.registration = enrol.New(enrol.Options{
		Store: o.Store, Clock: o.Clock, Log: o.Log, Self: o.Settings.Node, Value: a.currentRecord, OnPrevious: a.restoreTarget,
	})
	a.cleaner = enrol.NewCleaner(enrol.CleanerOptions{
		Store: o.Store, Clock: o.Clock, Log: o.Log, Scope: o.Scope, Watched: a.watchedPeers, Probe: a.probeAgent,
	})
	a.mirror = mirror.New(mirror.Options{
		Store: o.Store, Clock: o.Clock, Log: o.Log, Self: o.Settings.Node, Prefix: enrol.Prefix, Link: o.Settings.Link,
		Fresh: a.fresh, Accepts: a.accepts,
		Wants: a.wants, SendQuery: a.queryAgent, OnChange: a.applyItems, OnDiscovered: a.agentsDiscovered, OnListed: a.keysListed,
	})
	uplink := mesh.NewUplink(o.Settings.Link)
	a.startQuotas = func() {} // until Start
	a.quotas = tokens.New(tokens.Options{
		Self: o.Settings.Node, DataCentre: o.Settings.DataCentre, Centres: slices.Collect(maps.Keys(o.Settings.Regions)),
		Clock: o.Clock, Elapsed: a.fresh.Time, Log: o.Log, Scope: o.Scope, Table: a.table.get, Age: a.fresh.StoreAge, Ask: a.askForTokens,
	})
	a.client = mesh.NewClient(mesh.ClientOptions{
		Hello: mesh.Hello{Node: o.Settings.Node, Boot: a.boot, Address: o.Settings.advertisedAddress(), Link: o.Settings.Link},
		Clock: o.Clock, Ended: a.linkEnded, Notice: a.handleNotice,
		Memory: a.bodies, Undecoded: a.recordUndecoded, Uplink: uplink,
	})
	a.server = mesh.NewServer(mesh.ServerOptions{
		Serve: a.serveCall, Notice: a.handleNotice, Query: a.serveQuery, Tokens: a.quotas.Serve, Opened: a.linkOpened,
		Failed: a.inboundEnded, Clock: o.Clock, Memory: a.bodies, NoMemory: a.refuseLongCall,
		Undecoded: a.refuseUndecoded, TooMany: a.refuseBeyond, Uplink: uplink,
	})
	e := &entry{
		wire: o.Wire, clock: o.Clock, log: o.Log, metrics: a.metrics, table: a.table, balancer: a.balancer,
		callerService: func() types.ServiceName { return *a.service.Load() }, send: a.send, observeVersion: a.observeVersion,
		suspects: a.suspects, stop: a.stop.Load, fresh: a.fresh, staleLines: newStaleLines(), quotas: a.quotas,
	}
	a.explainer = &explainer{entry: e, target: a.target}
	a.front = front.New(front.Options{
		Handle: e.handle, Bounds: a.bounds, Clock: o.Clock,
		Refuse: e.refuse, Held: e.recordHold,
		Failed: func(err error) { o.Log.WithError(err).Warn("failed to accept connection") },
	})
	return a
}

// elapsed returns the clock that counts suspension.
func (o Options) elapsed() func() time.Duration {
	if o.Elapsed != nil {
		return o.Elapsed
	}
	start := o.Clock.Now()
	return func() time.Duration { return o.Clock.Since(start) }
}

// responseLimits bounds the target's responses, whose long bodies take memory from a
// budget until they have been passed on.
func responseLimits(budget *httpw.Budget) httpw.Limits {
	return httpw.Limits{HeaderBytes: 64 << 10, BodyBytes: 64 << 20, Budget: budget}
}

// initialBounds applies to callers until the first configuration is known.
var initialBounds = vhost.Bounds{
	HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

// bounds returns the limits for callers that are in force.
func (a *Agent) bounds() front.Bounds {
	b := initialBounds
	if t := a.table.get(); t != nil {
		b = t.Bounds()
	}
	return front.Bounds{
		Message: httpw.Limits{HeaderBytes: b.HeaderBytes, BodyBytes: b.BodyBytes, Budget: a.bodies},
		Header:  b.HeaderTimeout, Idle: b.IdleTimeout,
	}
}

// SetService sets the service of this VM. Calls that its agent sends name it as their
// caller.
func (a *Agent) SetService(name types.ServiceName) { a.service.Store(&name) }

// IsReady reports whether callers should be sent to this agent: it is not stopping,
// knows the records of all agents and has a configuration.
func (a *Agent) IsReady() bool {
	return !a.isStopping() && a.isSynced.Load() && a.table.get() != nil
}

// KnowsService reports whether the configuration contains a service. It returns true
// while there is no configuration.
func (a *Agent) KnowsService(name types.ServiceName) bool {
	t := a.table.get()
	if t == nil {
		return true
	}
	_, ok := t.Service(name)
	return ok
}

// Start opens the addresses and starts the background work. Stop ends it. Start fails if
// an address cannot be opened.
func (a *Agent) Start() error {
	a.started = a.clock.Now()
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	if err := a.listen(); err != nil {
		return err
	}
	a.startQuotas = sync.OnceFunc(func() { go a.quotas.Run(ctx) })
	go a.mirror.Run(ctx)
	go a.runTableReads(ctx)
	go a.registration.Run(ctx)
	go a.cleaner.Run(ctx)
	a.log.WithFields(log.Fields{
		"node": a.opts.Settings.Node, "dataCentre": string(a.opts.Settings.DataCentre),
		"service": string(a.opts.Settings.Service), "boot": a.boot, "startMs": a.clock.Since(a.started).Milliseconds(),
	}).Info("agent started")
	return nil
}
