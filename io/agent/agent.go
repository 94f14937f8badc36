package agent

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/beat"
	"trefoilthread/core/roster"
	"trefoilthread/core/types"
	"trefoilthread/core/vhost"
	"trefoilthread/io/front"
	"trefoilthread/io/httpw"
	"trefoilthread/io/local"
	"trefoilthread/io/mesh"
	"trefoilthread/io/store"
)

// Options configure an Agent. All fields but Metrics are required.
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
}

// Agent is one daemon.
type Agent struct {
	opts  Options
	log   log.Interface
	clock clockwork.Clock
	store store.Store
	count *counts
	boot  uint64

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
	newer    chan int64
	cancel   context.CancelFunc
	started  time.Time
	https    []*http.Server
}

// New returns an agent that isn't running.
func New(o Options) (*Agent, error) {
	a := &Agent{
		opts: o, log: o.Log, clock: o.Clock, store: o.Store, boot: rand.Uint64(),
		count: newCounts(o.Scope), newer: make(chan int64, 1),
	}
	a.SetService(o.Settings.Service)
	a.tables = &tables{log: o.Log}
	a.places = newPlaces(o.Settings, o.Clock, a.boot)
	a.suspects = newSuspects(o.Settings.Node, a.boot, o.Clock, o.Log, a.tellAll)
	a.own = newOwn(ownOptions{
		clock: o.Clock, log: o.Log, count: a.count, wire: o.Wire, changed: a.targetChanged, paceChanged: a.publishLoad,
		connections: a.connections,
		suspects:    a.suspects,
		client: local.New(o.Settings.TargetAddr, local.Options{
			Belongs: o.Wire.Belongs, Clock: o.Clock, Limits: responseLimits,
		}),
	})
	a.register = newRegister(registerOptions{
		store: o.Store, clock: o.Clock, log: o.Log, key: nodeKey(o.Settings.Node),
		minLease: o.Settings.MinLease, value: a.record, size: a.places.size, seen: a.recordSeen,
	})
	a.client = mesh.NewClient(mesh.ClientOptions{
		Hello: mesh.Hello{Node: o.Settings.Node, Boot: a.boot}, Clock: o.Clock, Ended: a.linkEnded, Notice: a.notice,
	})
	a.server = mesh.NewServer(mesh.ServerOptions{
		Serve: a.serve, Notice: a.notice, Failed: func(string, error) {}, Clock: o.Clock,
	})
	e := &entry{
		wire: o.Wire, clock: o.Clock, log: o.Log, count: a.count, tables: a.tables, places: a.places,
		caller: func() types.ServiceName { return *a.service.Load() }, send: a.send, newer: a.heardVersion,
		suspects: a.suspects,
	}
	a.front = front.New(front.Options{
		Handle: e.handle, Bounds: a.bounds, Clock: o.Clock,
		Refuse: func(status int) *httpw.Response { return plain(status, "request not understood") },
		Failed: func(err error) { o.Log.WithError(err).Warn("connection not accepted") },
	})
	return a, nil
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
	go a.followTable(ctx)
	go a.followNodes(ctx)
	go a.fetchTable(ctx)
	go a.register.run(ctx)
	a.log.WithFields(log.Fields{
		"node": a.opts.Settings.Node, "dataCentre": string(a.opts.Settings.DataCentre),
		"service": string(a.opts.Settings.Service), "boot": a.boot, "startMs": a.clock.Since(a.started).Milliseconds(),
	}).Info("agent started")
	return nil
}

// listen opens all sockets and serves them.
func (a *Agent) listen() error {
	set := a.opts.Settings
	callers, err := net.Listen("tcp4", set.Callers)
	if err != nil {
		return errors.Wrap(err, "address for callers")
	}
	links, err := net.Listen("tcp4", set.Mesh)
	if err != nil {
		return errors.Wrap(err, "address for other agents")
	}
	go a.watchServe("callers", func() error { return a.front.Serve(callers) })
	go a.watchServe("mesh", func() error { return a.server.Serve(links) })
	for addr, h := range map[string]http.Handler{
		set.Ready: a.opts.ReadyHandler(a), set.Control: a.opts.ControlHandler(a), set.Metrics: a.opts.Metrics,
	} {
		if addr == "" {
			continue
		}
		if err := a.serveHTTP(addr, h); err != nil {
			return err
		}
	}
	return nil
}

func (a *Agent) serveHTTP(addr string, h http.Handler) error {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return errors.Wrapf(err, "address %s", addr)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 30 * time.Second}
	a.https = append(a.https, srv)
	go a.watchServe(addr, func() error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

func (a *Agent) watchServe(name string, serve func() error) {
	if err := serve(); err != nil {
		a.log.WithError(err).WithField("listener", name).Error("listener ended")
	}
}

// serve runs a call of another agent.
func (a *Agent) serve(ctx context.Context, from mesh.Hello, head *mesh.CallHead) *mesh.Answer {
	if from.Node != "" {
		now := a.clock.Now()
		a.places.update(func(r *roster.Roster) bool {
			r.Heard(now, from.Node)
			return false
		})
	}
	a.heardVersion(head.Config)
	ans := a.own.serve(ctx, head)
	ans.Config = a.tables.version()
	return ans
}

// send hands a call to the agent beside its target.
func (a *Agent) send(ctx context.Context, t types.Target, head *mesh.CallHead) (*mesh.Answer, error) {
	if t.Address() == a.opts.Settings.Mesh {
		return a.own.serve(ctx, head), nil
	}
	ans, err := a.client.Call(ctx, t.Address(), head)
	if err == nil {
		a.heard(t)
	}
	return ans, err
}

// heard notes direct contact with the agent beside a target.
func (a *Agent) heard(t types.Target) {
	now := a.clock.Now()
	a.places.update(func(r *roster.Roster) bool {
		r.HeardAt(now, t.Address())
		return false
	})
}

// notice takes what another agent says of itself.
func (a *Agent) notice(n *mesh.Notice) {
	a.heardVersion(n.Config)
	a.suspects.learn(n.Suspects)
	now := a.clock.Now()
	a.places.update(func(r *roster.Roster) bool {
		r.Heard(now, n.Node)
		return n.Leaving && r.Leaving(n.Node, n.Boot)
	})
	if n.HasLoad {
		a.places.report(types.ServiceName(n.Service), types.TargetID(n.Target), n.Load)
	}
	if n.Leaving {
		a.log.WithField("node", n.Node).WithField("target", n.Target).Info("target is leaving, told by its agent")
	}
}

// recentCall is the time in which an agent has to have called to be told of a
// change of pace.
const recentCall = 5 * time.Second

// publishLoad tells the agents that use the target of its load.
func (a *Agent) publishLoad(cur beat.Announcement, l mesh.Load) {
	a.places.report(cur.Service, cur.ID, l)
	a.server.Publish(&mesh.Notice{
		Node: a.opts.Settings.Node, Boot: a.boot, Config: a.tables.version(),
		Target: string(cur.ID), Service: string(cur.Service), HasLoad: true, Load: l,
	}, recentCall)
}

// linkEnded logs lost connections to other agents.
func (a *Agent) linkEnded(addr string, err error) {
	if a.stopping.Load() {
		return
	}
	a.count.event("links_lost")
	a.log.WithError(err).WithField("address", addr).Info("connection to an agent lost")
}

// recordSeen takes over what an earlier start of this agent has recorded.
func (a *Agent) recordSeen(rec *storedRecord) {
	a.restored.Store(true)
	if rec == nil || rec.Target == "" {
		return
	}
	ann, gone := rec.announcement()
	a.own.restore(ann, gone)
}

// targetChanged publishes the target on this VM.
func (a *Agent) targetChanged() {
	cur, state, ok := a.own.target()
	var list []types.Target
	if ok && state != types.Down {
		list = append(list, types.NewTarget(types.TargetSpec{
			ID: cur.ID, Service: cur.Service, DataCentre: a.opts.Settings.DataCentre,
			Address: a.opts.Settings.Mesh, Slots: cur.Slots, Incarnation: cur.Born,
			Sequence: cur.Sequence, State: state,
		}))
	}
	a.places.setOwn(list)
	a.register.touch()
	if ok && state != types.Up {
		a.server.Publish(&mesh.Notice{
			Node: a.opts.Settings.Node, Boot: a.boot, Config: a.tables.version(), Target: string(cur.ID), Leaving: true,
		}, recentCall)
	}
}

// Announce takes a message of the target and returns when others may rely on
// it, or when ctx ends. False means that it was not taken.
func (a *Agent) Announce(ctx context.Context, ann beat.Announcement) bool {
	if !a.restored.Load() {
		return false // an earlier start may have recorded that it left
	}
	v := a.own.announce(ann)
	if v == beat.Changed && ann.Draining {
		a.spread(ctx)
	}
	return true
}

// connections returns how many connections a target of a service accepts, 0 if
// unknown.
func (a *Agent) connections(name types.ServiceName) int {
	if t := a.tables.get(); t != nil {
		s, _ := t.Service(name)
		return s.Connections
	}
	return 0
}

// Rejected notes a message that names no target.
func (a *Agent) Rejected(id string, err error) {
	a.count.event("announcements_rejected")
	a.log.WithField("target", id).WithField("reason", err).Warn("announcement names no target")
}

// Leave takes the last message of the target.
func (a *Agent) Leave(ctx context.Context, id types.TargetID, born uint64) {
	if a.own.leave(id, born) == beat.Changed {
		a.spread(ctx)
	}
}

// spread tells the others that the target takes no new calls and waits a
// bounded time for the store to have it. The gate refuses calls already, so
// the acknowledgement holds without either.
func (a *Agent) spread(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, spreadTime)
	defer cancel()
	a.register.settled(ctx)
}

// spreadTime bounds the delay of an acknowledgement to the target, which waits
// a second for it.
const spreadTime = 500 * time.Millisecond
