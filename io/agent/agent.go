package agent

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/types"
	"trefoilthread/core/vhost"
	"trefoilthread/io/front"
	"trefoilthread/io/httpw"
	"trefoilthread/io/local"
	"trefoilthread/io/mesh"
	"trefoilthread/io/store"
)

// Options configure an Agent. All fields but Metrics and Listen are required.
type Options struct {
	Settings Settings
	Wire     Wire
	Store    store.Store
	Log      log.Interface
	Clock    clockwork.Clock
	Scope    tally.Scope
	// Metrics serves the metrics address.
	Metrics http.Handler
	// ReadyHandler and ControlHandler serve the readiness check and the
	// target's announcements.
	ReadyHandler   func(a *Agent) http.Handler
	ControlHandler func(a *Agent) http.Handler
	// Listen opens the addresses of Settings; default TCP over IPv4. Tests pass
	// sockets that are open already, whose ports no other process can take.
	Listen func(addr string) (net.Listener, error)
}

// Agent is one daemon.
type Agent struct {
	opts  Options
	log   log.Interface
	clock clockwork.Clock
	store store.Store
	count *counts
	boot  uint64

	mirror   *mirror
	tables   *tables
	places   *places
	own      *own
	register *register
	suspects *suspects
	client   *mesh.Client
	server   *mesh.Server
	front    *front.Server

	service  atomic.Pointer[types.ServiceName]
	restored atomic.Bool // the record of an earlier start was read
	synced   atomic.Bool // the records of all agents were read
	stopping atomic.Bool
	newer    chan int64    // versions that other agents have
	unread   chan struct{} // holds one token when the configuration is to be read
	isLong   atomic.Bool   // the configuration is left more time to come from others before it is read
	cancel   context.CancelFunc
	started  time.Time
	https    []*http.Server
}

// New returns an agent that isn't running.
func New(o Options) *Agent {
	a := &Agent{
		opts: o, log: o.Log, clock: o.Clock, store: o.Store, boot: rand.Uint64(),
		count: newCounts(o.Scope), newer: make(chan int64, 1), unread: make(chan struct{}, 1),
	}
	a.SetService(o.Settings.Service)
	a.tables = &tables{log: o.Log}
	a.places = newPlaces(o.Settings, o.Clock, a.boot)
	a.suspects = newSuspects(o.Settings.Node, a.boot, o.Clock, o.Log, a.tellAll)
	a.own = newOwn(ownOptions{
		clock: o.Clock, log: o.Log, count: a.count, wire: o.Wire, changed: a.targetChanged, paceChanged: a.publishLoad,
		presence: a.presence,
		service:  a.serviceInfo,
		probes:   newProbes(o.Clock.Now(), o.Settings.ProbesPerSecond),
		suspects: a.suspects,
		client: local.New(o.Settings.TargetAddr, local.Options{
			Belongs: o.Wire.Belongs, Clock: o.Clock, Limits: responseLimits,
		}),
	})
	a.register = newRegister(registerOptions{
		store: o.Store, clock: o.Clock, log: o.Log, key: nodeKey(o.Settings.Node),
		minLease: o.Settings.MinLease, value: a.record, size: a.places.size, seen: a.recordSeen,
	})
	a.mirror = newMirror(mirrorOptions{
		store: o.Store, clock: o.Clock, log: o.Log, self: o.Settings.Node, prefix: nodePrefix, link: o.Settings.Link,
		wants: a.wants, ask: a.ask, take: a.takeItems, introduced: a.introduced, listed: a.listed,
	})
	a.client = mesh.NewClient(mesh.ClientOptions{
		Hello: mesh.Hello{Node: o.Settings.Node, Boot: a.boot, Address: o.Settings.public()}, Clock: o.Clock, Ended: a.linkEnded, Notice: a.notice,
	})
	a.server = mesh.NewServer(mesh.ServerOptions{
		Serve: a.serve, Notice: a.notice, Query: a.mirror.serve, Opened: a.opened,
		Failed: a.inboundEnded, Clock: o.Clock,
	})
	e := &entry{
		wire: o.Wire, clock: o.Clock, log: o.Log, count: a.count, tables: a.tables, places: a.places,
		caller: func() types.ServiceName { return *a.service.Load() }, send: a.send, newer: a.heardVersion,
		suspects: a.suspects,
	}
	a.front = front.New(front.Options{
		Handle: e.handle, Bounds: a.bounds, Clock: o.Clock,
		Refuse: e.refuse, Held: e.held,
		Failed: func(err error) { o.Log.WithError(err).Warn("connection not accepted") },
	})
	return a
}

// responseLimits bound the responses of targets.
var responseLimits = httpw.Limits{HeaderBytes: 64 << 10, BodyBytes: 64 << 20}

// startBounds hold before the first configuration.
var startBounds = vhost.Bounds{
	HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second,
}

// bounds returns the limits towards callers that are in force.
func (a *Agent) bounds() front.Bounds {
	b := startBounds
	if t := a.tables.get(); t != nil {
		b = t.Bounds()
	}
	return front.Bounds{
		Message: httpw.Limits{HeaderBytes: b.HeaderBytes, BodyBytes: b.BodyBytes},
		Header:  b.HeaderTime, Idle: b.IdleTime,
	}
}

// SetService sets the service of this VM, which calls from it are said to come
// from.
func (a *Agent) SetService(name types.ServiceName) { a.service.Store(&name) }

// IsReady reports whether callers should be sent here.
func (a *Agent) IsReady() bool {
	return !a.stopping.Load() && a.synced.Load() && a.tables.get() != nil
}

// KnowsService reports whether a service is in the configuration, or whether
// there is none yet to tell by.
func (a *Agent) KnowsService(name types.ServiceName) bool {
	t := a.tables.get()
	if t == nil {
		return true
	}
	_, ok := t.Service(name)
	return ok
}

// Start begins to serve. Stop ends it.
func (a *Agent) Start() error {
	a.started = a.clock.Now()
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	if err := a.listen(); err != nil {
		return err
	}
	go a.mirror.run(ctx)
	go a.fetchTable(ctx)
	go a.register.run(ctx)
	a.log.WithFields(log.Fields{
		"node": a.opts.Settings.Node, "dataCentre": string(a.opts.Settings.DataCentre),
		"service": string(a.opts.Settings.Service), "boot": a.boot, "startMs": a.clock.Since(a.started).Milliseconds(),
	}).Info("agent started")
	return nil
}
