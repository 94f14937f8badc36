package agent

import (
	"context"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/beat"
	"trefoilthread/core/grace"
	"trefoilthread/core/relay"
	"trefoilthread/core/roster"
	"trefoilthread/core/tries"
	"trefoilthread/core/types"
	"trefoilthread/core/vhost"
	"trefoilthread/io/httpw"
	"trefoilthread/io/mesh"
	"trefoilthread/io/tokens"
)

// RouteResult exposes routeResult.
var RouteResult = routeResult

// Presence exposes presence.
func Presence(a *Agent, cur beat.Announcement) *mesh.Presence { return a.presence(cur) }

// RecordsAfterPresence returns the records that a knows after applyPresence.
func RecordsAfterPresence(a *Agent, p *mesh.Presence) []roster.Record {
	a.applyPresence(types.Target{}, p)
	return Records(a)
}

// Records returns the records that a knows.
func Records(a *Agent) (recs []roster.Record) {
	a.balancer.updateRoster(func(r *roster.Roster) bool {
		recs = r.Records()
		return false
	})
	return recs
}

// ApplyItems exposes applyItems.
func ApplyItems(a *Agent, items []relay.Item) { a.applyItems(items) }

// ReadLongTable reads a configuration that is too long to be told, of a revision or later,
// and returns the version in force.
func ReadLongTable(ctx context.Context, a *Agent, revision int64) int64 {
	a.isTableLong.Store(true)
	a.tableWanted.Store(revision)
	a.readTable(ctx, 0)
	return a.table.version()
}

// CountRequest counts a request for a service, which starts the statistics of it.
func CountRequest(a *Agent, name types.ServiceName) { a.balancer.countRequest(name) }

// AddCustomer adds the customer with key k1 to a call that has to start before until and is
// sent at a time of the clock.
func AddCustomer(head *mesh.CallHead, t *vhost.Table, until, sent time.Duration) {
	c, _ := t.CustomerOf("k1")
	q := &request{identity: identity{customer: c, until: until}}
	q.addCustomer(head, func() time.Duration { return sent })
}

// OffersWaiting returns the number of offered calls that wait for a grant.
func OffersWaiting(a *Agent) int {
	a.target.mu.Lock()
	defer a.target.mu.Unlock()
	return a.target.link.Waiting()
}

// LearnStore notes that a knows the present state of the store.
func LearnStore(a *Agent) { a.fresh.Learn(a.fresh.Elapsed()) }

// KnowledgeAge returns the age of a's knowledge of the store.
func KnowledgeAge(a *Agent) time.Duration { return a.fresh.StoreAge() }

// MayAcceptKeys reports whether a knows the configuration well enough for requests with keys.
func MayAcceptKeys(a *Agent) bool { return a.fresh.Now().IsRecent() }

// Serve runs a call at the target of a, as for another agent.
func Serve(ctx context.Context, a *Agent, head *mesh.CallHead) *mesh.Answer {
	return a.target.serve(ctx, head)
}

// AnnounceTarget applies an announcement of the target of a.
func AnnounceTarget(a *Agent, x beat.Announcement) { a.target.announce(x) }

// CheckHealth makes a health check of the target.
func CheckHealth(a *Agent, cur beat.Announcement) {
	a.target.probeDone = make(chan struct{})
	a.target.runProbe(cur, "/health")
}

// IsTargetIdle reports whether no call runs or waits at the target of a.
func IsTargetIdle(a *Agent) bool { return a.target.isIdle() }

// RetriesLostAnswer reports whether a request of a route is sent again after a run whose
// answer was lost.
func RetriesLostAnswer(r *vhost.Route, onTrial bool) bool {
	d := newDispatch(nil, &request{route: r}, onTrial)
	d.tries.Record(tries.AnswerLost, "", 0)
	return d.tries.ShouldRetry(func() bool { return true })
}

// OutcomeOf returns what the caller of a request of a route may rely on whose only attempt
// ended with err, after ctx.
func OutcomeOf(ctx context.Context, r *vhost.Route, err error) types.Outcome {
	d := newDispatch(nil, &request{route: r}, false)
	d.handleResult(ctx, result{err: err})
	return d.tries.Outcome()
}

// ServeMesh takes connections of other agents on ln until it is closed.
func ServeMesh(a *Agent, ln net.Listener) error { return a.server.Serve(ln) }

// ServeCallers takes connections of callers on ln until it is closed.
func ServeCallers(a *Agent, ln net.Listener) error { return a.front.Serve(ln) }

// CallPeer sends a call to the agent at an address.
func CallPeer(ctx context.Context, a *Agent, addr string) error {
	_, err := a.client.Call(ctx, addr, new(mesh.CallHead))
	return err
}

// CallOfCustomer returns the call that the gate beside the target gets for a request of a
// customer, after it was encoded and decoded.
func CallOfCustomer(now time.Time, c *vhost.Customer, r *vhost.Route) (types.Call, error) {
	q := newRequest(now, RequestInfo{ID: "a"}, &httpw.Request{}, &vhost.Table{}, r, 0)
	q.identity.customer = c
	head := q.callHead(now, types.Target{}, "")
	if c != nil {
		head.Customer = string(c.Name())
	}
	b, err := cbor.Marshal(head)
	if err != nil {
		return types.Call{}, err
	}
	head = &mesh.CallHead{}
	if err := cbor.Unmarshal(b, head); err != nil {
		return types.Call{}, err
	}
	return callOf(now, head)
}

// Dispatch sends a request on a route by way of send, which gets the names of the targets, and
// returns its status. The first 30 requests of the route were answered in a millisecond. A
// stopping agent has begun its stop.
func Dispatch(a *Agent, r *vhost.Route, stopping bool, send func(ctx context.Context, target string) (*mesh.Answer, error)) int {
	for range 30 {
		a.balancer.countRequest("bookings")
		a.balancer.recordLatency("bookings", r.Name(), time.Millisecond)
	}
	e := &entry{
		wire: a.opts.Wire, clock: a.clock, metrics: a.metrics, balancer: a.balancer, fresh: a.fresh,
		callerService:  func() types.ServiceName { return "" },
		observeVersion: func(int64) {},
		stop: func() *grace.Stop {
			if stopping {
				return grace.New(a.clock.Now(), grace.Options{})
			}
			return nil
		},
		send: func(ctx context.Context, t types.Target, _ *mesh.CallHead) (*mesh.Answer, error) {
			return send(ctx, string(t.ID()))
		},
	}
	now := a.clock.Now()
	q := newRequest(now, RequestInfo{ID: "a"}, &httpw.Request{}, &vhost.Table{}, r, 0)
	ctx, cancel := context.WithDeadline(context.Background(), q.deadline)
	defer cancel()
	return newDispatch(e, q, false).do(ctx).Status
}

// CallsAtTarget returns the number of calls that run or wait at the target of a.
func CallsAtTarget(a *Agent) int {
	a.target.mu.Lock()
	defer a.target.mu.Unlock()
	r := a.target.gate.Report()
	return r.InFlight + r.Queued
}

// Explain exposes the explanation of a request.
func Explain(a *Agent, r *ExplainRequest) (*Explanation, int, string) { return a.explainer.explain(r) }

// SetTable puts a configuration in force.
func SetTable(a *Agent, t *vhost.Table) { a.table.replaceIfNewer(t, "test") }

// QuotasOf returns the quotas of an agent.
func QuotasOf(a *Agent) *tokens.Quotas { return a.quotas }

// NewRequestLines returns mayLogRequest of new metrics.
func NewRequestLines() func(now time.Time, route string) (leftOut int, ok bool) {
	return newMetrics(tally.NoopScope).mayLogRequest
}
