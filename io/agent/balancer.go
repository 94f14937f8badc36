package agent

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"trefoilthread/core/drain"
	"trefoilthread/core/relay"
	"trefoilthread/core/retry"
	"trefoilthread/core/roster"
	"trefoilthread/core/route"
	"trefoilthread/core/types"
	"trefoilthread/io/mesh"
)

const (
	// sameRegionDelay and otherRegionDelay are the one-way latencies to other data
	// centres that the choice of targets assumes, as the platform gives none. They
	// include a share for the price of traffic between data centres.
	sameRegionDelay  = 3 * time.Millisecond
	otherRegionDelay = 40 * time.Millisecond
	// subsetSize is the number of targets of a service that an agent uses. The pace of a
	// host changes within 300 ms and is sent to recent callers only, so an agent has
	// better information on few targets that it calls often than on many.
	subsetSize = 6
)

// balancer chooses targets. It holds the known agents, and for each service the
// statistics of this agent's calls and its retry and hedge budgets.
type balancer struct {
	settings Settings
	clock    clockwork.Clock
	seed     uint64

	mu        sync.Mutex
	roster    *roster.Roster
	local     []types.Target // the target on this VM, if any
	services  map[types.ServiceName]*serviceState
	maxAgents int // largest number of agents known at a time
	// unlisted holds the addresses, by name, of agents that have opened connections but
	// have no known record.
	unlisted map[string]string
	drains   *drain.Set
}

// serviceState is the state of one service.
type serviceState struct {
	picker       *route.Picker
	budget       *retry.Budget
	budgetAgents int // number of agents the budget is for
	hedges       *retry.HedgeLimit
	// hedgers estimate the usual latency of each route.
	hedgers map[string]*retry.Hedger
}

// hedgeOptions allow a second attempt for the slowest requests of a route. Settings.HedgeShare
// limits their number.
var hedgeOptions = retry.HedgerOptions{Quantile: 0.9}

// maxHedgers bounds the routes of a service with a hedger. All of them are dropped when
// it is reached.
const maxHedgers = 1024

// hedger returns the hedger of a route, a new one if there is none.
func (s *serviceState) hedger(route string) *retry.Hedger {
	h := s.hedgers[route]
	if h == nil {
		if s.hedgers == nil || len(s.hedgers) >= maxHedgers {
			s.hedgers = make(map[string]*retry.Hedger)
		}
		h = retry.NewHedger(hedgeOptions)
		s.hedgers[route] = h
	}
	return h
}

func newBalancer(set Settings, clock clockwork.Clock, seed uint64) *balancer {
	return &balancer{
		settings: set, clock: clock, seed: seed,
		roster:   roster.New(roster.Options{Self: set.Node}),
		services: make(map[types.ServiceName]*serviceState), unlisted: make(map[string]string),
		drains: drain.New(),
	}
}

// distance returns the assumed one-way latency between two data centres.
func (b *balancer) distance(from, to types.DataCentre) time.Duration {
	switch {
	case from == to:
		return 0
	case b.settings.Regions[from] == b.settings.Regions[to]:
		return sameRegionDelay
	}
	return otherRegionDelay
}

// service returns the state of a service, with the lock held.
func (b *balancer) service(name types.ServiceName) *serviceState {
	s := b.services[name]
	if s == nil {
		s = b.newState(name)
		b.services[name] = s
	}
	switch {
	case s.budget == nil:
		s.budget = retry.NewBudget(b.retryOptions(b.maxAgents))
	case s.budgetAgents != b.maxAgents:
		s.budget.SetOptions(b.retryOptions(b.maxAgents))
	}
	s.budgetAgents = b.maxAgents
	return s
}

// newState returns the state of a service that had no call so far.
func (b *balancer) newState(name types.ServiceName) *serviceState {
	return &serviceState{picker: b.newPicker(name), hedges: retry.NewHedgeLimit(b.settings.HedgeShare)}
}

// newPicker returns a picker of the present targets of a service, with the lock held.
func (b *balancer) newPicker(name types.ServiceName) *route.Picker {
	p := route.New(route.Options{
		Self: types.TargetID(b.settings.Node), DataCentre: b.settings.DataCentre, Subset: subsetSize,
		Distance: b.distance, Seed: b.seed, Link: b.settings.Link,
	})
	p.Update(b.clock.Now(), b.targets(name))
	return p
}

// retryOptions returns this agent's part of the retries that n agents may make together.
func (b *balancer) retryOptions(n int) retry.BudgetOptions {
	return retry.FleetLimit{
		Share: b.settings.RetryShare, Extra: b.settings.RetryExtra, Window: b.settings.RetryWindow,
	}.Part(n)
}

// targets returns the targets of a service that may be called, with the lock held.
func (b *balancer) targets(name types.ServiceName) []types.Target {
	return b.drains.Filter(b.knownTargets(name))
}

// knownTargets returns the targets of a service, with the lock held.
func (b *balancer) knownTargets(name types.ServiceName) []types.Target {
	list := b.roster.Targets(name)
	for _, t := range b.local {
		if t.Service() == name {
			list = append(list, t)
		}
	}
	return list
}

// refreshPickers passes the present targets to all pickers, with the lock held.
func (b *balancer) refreshPickers() {
	b.maxAgents = max(b.maxAgents, b.roster.Len()+1)
	now := b.clock.Now()
	for name, s := range b.services {
		s.picker.Update(now, b.targets(name))
	}
}

// setLocal sets the target on this VM.
func (b *balancer) setLocal(list []types.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.local = list
	b.refreshPickers()
}

// updateRoster runs change on the roster and refreshes the pickers if it reports
// true.
func (b *balancer) updateRoster(change func(r *roster.Roster) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if change(b.roster) {
		b.refreshPickers()
	}
}

// countRequest counts a request of a caller, which adds to the retry and hedge budgets.
func (b *balancer) countRequest(name types.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(name)
	s.budget.RecordCall(b.clock.Now())
	s.hedges.RecordCall()
}

// hedgeDelay returns after which time a hedge of a request may be sent; false if it is
// not known yet or nothing is hedged.
func (b *balancer) hedgeDelay(name types.ServiceName, route string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(name)
	if s.hedges.IsOff() {
		return 0, false
	}
	return s.hedger(route).Delay(b.clock.Now())
}

// recordLatency records the latency of a request that got a response.
func (b *balancer) recordLatency(name types.ServiceName, route string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.service(name).hedger(route).RecordLatency(b.clock.Now(), took)
}

// takeRetry takes one retry of a request from the budget, and reports whether it allowed it.
func (b *balancer) takeRetry(name types.ServiceName, u types.Urgency) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.service(name).budget.TakeFor(b.clock.Now(), u)
}

// pick chooses a target that was not tried for a call with a body of n bytes, and counts
// the call as started. others reports whether more targets are left; ok is false if there is none to pick.
func (b *balancer) pick(name types.ServiceName, tried []types.TargetID, n int) (t types.Target, tok route.Token, others, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, now := b.service(name), b.clock.Now()
	if t, ok = s.picker.PickForBody(now, tried, n); !ok {
		return t, tok, false, false
	}
	return t, s.picker.Start(now, t.ID()), s.picker.CountUsable(now) > len(tried)+1, true
}

// finishCall records the result of a call.
func (b *balancer) finishCall(name types.ServiceName, tok route.Token, res route.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.service(name).picker.Finish(b.clock.Now(), tok, res)
}

// updateLoad records the load of a target that did not come with an answer.
func (b *balancer) updateLoad(name types.ServiceName, id types.TargetID, l mesh.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.services[name]; s != nil {
		s.picker.ApplyReport(b.clock.Now(), id, toReport(l))
	}
}

// maxUnlisted bounds the known agents without a record.
const maxUnlisted = 16

// addUnlisted records the address of an agent that opened a connection, and reports
// whether it was new.
func (b *balancer) addUnlisted(node, addr string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if node == "" || addr == "" || node == b.settings.Node || b.roster.Address(node) != "" || b.unlisted[node] == addr {
		return false
	}
	if len(b.unlisted) >= maxUnlisted {
		clear(b.unlisted)
	}
	b.unlisted[node] = addr
	return true
}

// address returns the address at which an agent accepts connections, "" if unknown.
func (b *balancer) address(node string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if addr := b.roster.Address(node); addr != "" {
		return addr
	}
	return b.unlisted[node]
}

// peers returns the other known agents.
func (b *balancer) peers() []relay.Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []relay.Peer
	for _, rec := range b.roster.Records() {
		list = append(list, relay.Peer{Name: rec.Node, Link: rec.Link})
	}
	for name := range b.unlisted {
		if b.roster.Address(name) != "" {
			delete(b.unlisted, name)
			continue
		}
		list = append(list, relay.Peer{Name: name})
	}
	return list
}

// toReport converts the load in a message.
func toReport(l mesh.Load) types.Report {
	return types.NewReport(types.ReportSpec{
		InFlight: l.InFlight, Queued: l.Queued, Limit: l.Limit,
		Latency: time.Duration(l.LatencyUs) * time.Microsecond, Draining: l.Draining, Incarnation: l.Born, Pace: l.Pace,
		Link: time.Duration(l.LinkUs) * time.Microsecond,
		Rate: l.Rate, RateLasts: time.Duration(l.RateMs) * time.Millisecond, StartIn: time.Duration(l.StartInMs) * time.Millisecond,
	})
}
