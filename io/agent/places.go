package agent

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"trefoilthread/core/relay"
	"trefoilthread/core/retry"
	"trefoilthread/core/roster"
	"trefoilthread/core/route"
	"trefoilthread/core/types"
	"trefoilthread/io/mesh"
)

const (
	// sameRegion and otherRegion are the one-way times to other data centres
	// that placing assumes; the platform gives none. They include a share for
	// the price of bytes between data centres.
	sameRegion  = 3 * time.Millisecond
	otherRegion = 40 * time.Millisecond
	// subset is the number of targets of a service that an agent uses. The pace
	// of a host changes within 300 ms and is told to recent callers only, so
	// fewer targets that are called often are known better than many.
	subset = 6
	// budgetShare is the part of the permitted retries that agents use. Calls
	// of a target that runs a retry count as retries as well, and the counts
	// of two windows may meet in one.
	budgetShare = 0.5
)

// places is what this agent knows of the others and of its calls to their
// targets.
type places struct {
	set   Settings
	clock clockwork.Clock
	seed  uint64

	mu       sync.Mutex
	roster   *roster.Roster
	own      []types.Target // the target on this VM, if any
	services map[types.ServiceName]*place
	most     int // largest number of agents seen
	// strangers are the addresses of agents that have opened connections and of
	// which no record is known.
	strangers map[string]string
}

// place is one service.
type place struct {
	picker *route.Picker
	budget *retry.Budget
	agents int // number of agents the budget is for
	// hedgers know the usual time of each route.
	hedgers map[string]*retry.Hedger
}

// hedgeOptions allow a second attempt for the slowest requests of a route.
var hedgeOptions = retry.HedgerOptions{Quantile: 0.9, Share: 0.1}

// maxHedgers bounds the routes with a hedger.
const maxHedgers = 1024

// hedger returns the hedger of a route.
func (pl *place) hedger(route string) *retry.Hedger {
	h := pl.hedgers[route]
	if h == nil {
		if pl.hedgers == nil || len(pl.hedgers) >= maxHedgers {
			pl.hedgers = make(map[string]*retry.Hedger)
		}
		h = retry.NewHedger(hedgeOptions)
		pl.hedgers[route] = h
	}
	return h
}

func newPlaces(set Settings, clock clockwork.Clock, seed uint64) *places {
	return &places{
		set: set, clock: clock, seed: seed,
		roster:   roster.New(roster.Options{Self: set.Node}),
		services: make(map[types.ServiceName]*place), strangers: make(map[string]string),
	}
}

// distance is the assumed one-way time between two data centres.
func (p *places) distance(from, to types.DataCentre) time.Duration {
	switch {
	case from == to:
		return 0
	case p.set.Regions[from] == p.set.Regions[to]:
		return sameRegion
	}
	return otherRegion
}

// place returns the state of a service, with the lock held.
func (p *places) place(name types.ServiceName) *place {
	pl := p.services[name]
	if pl == nil {
		pl = &place{picker: route.New(route.Options{
			Self: types.TargetID(p.set.Node), DataCentre: p.set.DataCentre, Subset: subset,
			Distance: p.distance, Seed: p.seed,
		})}
		p.services[name] = pl
		pl.picker.Update(p.clock.Now(), p.targets(name))
	}
	switch {
	case pl.budget == nil:
		pl.budget = retry.NewBudget(p.retryOptions(p.most))
	case pl.agents != p.most:
		pl.budget.SetOptions(p.retryOptions(p.most))
	}
	pl.agents = p.most
	return pl
}

// retryOptions returns this agent's part of the retries permitted to n agents.
// Half of what is beyond the share comes as a burst, half as a rate.
func (p *places) retryOptions(n int) retry.BudgetOptions {
	extra := budgetShare * float64(p.set.RetryExtra) / float64(max(n, 1))
	return retry.BudgetOptions{
		Share: budgetShare * p.set.RetryShare,
		Floor: extra / 2 / p.set.RetryWindow.Seconds(),
		Burst: extra / 2,
	}
}

// targets returns the targets of a service, with the lock held.
func (p *places) targets(name types.ServiceName) []types.Target {
	list := p.roster.Targets(name)
	for _, t := range p.own {
		if t.Service() == name {
			list = append(list, t)
		}
	}
	return list
}

// refresh hands the membership to all pickers, with the lock held.
func (p *places) refresh() {
	p.most = max(p.most, p.roster.Len()+1)
	now := p.clock.Now()
	for name, pl := range p.services {
		pl.picker.Update(now, p.targets(name))
	}
}

// setOwn sets the target on this VM.
func (p *places) setOwn(list []types.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.own = list
	p.refresh()
}

// update runs change on the roster and refreshes the pickers if it reports
// true.
func (p *places) update(change func(r *roster.Roster) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if change(p.roster) {
		p.refresh()
	}
}

// began counts a request of a caller, which adds to the budgets.
func (p *places) began(name types.ServiceName, route string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.place(name)
	pl.budget.Call(p.clock.Now())
	pl.hedger(route).Call()
}

// hedgeDelay returns when a second attempt of a request may start.
func (p *places) hedgeDelay(name types.ServiceName, route string) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.place(name).hedger(route).Delay(p.clock.Now())
}

// takeHedge uses one second attempt, of both budgets.
func (p *places) takeHedge(name types.ServiceName, route string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.place(name)
	return pl.hedger(route).Available() && pl.budget.Take(p.clock.Now()) && pl.hedger(route).Take()
}

// answered counts the time of a whole answer.
func (p *places) answered(name types.ServiceName, route string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.place(name).hedger(route).Record(p.clock.Now(), took)
}

// takeRetry uses one retry of the budget, if there is one.
func (p *places) takeRetry(name types.ServiceName) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.place(name).budget.Take(p.clock.Now())
}

// pick chooses a target and counts the call as begun. Others tells whether
// there are further ones.
func (p *places) pick(name types.ServiceName, tried []types.TargetID) (t types.Target, tok route.Token, others, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl, now := p.place(name), p.clock.Now()
	if t, ok = pl.picker.Pick(now, tried); !ok {
		return t, tok, false, false
	}
	return t, pl.picker.Start(now, t.ID()), pl.picker.Usable(now) > len(tried)+1, true
}

// finish records the result of a call.
func (p *places) finish(name types.ServiceName, tok route.Token, res route.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.place(name).picker.Finish(p.clock.Now(), tok, res)
}

// report takes over the load of a target that came without an answer.
func (p *places) report(name types.ServiceName, id types.TargetID, l mesh.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl := p.services[name]; pl != nil {
		pl.picker.Report(p.clock.Now(), id, report(l))
	}
}

// maxMet bounds the agents that are remembered though no record names them.
const maxMet = 16

// met notes the address of an agent that opened a connection, and reports
// whether it was not known.
func (p *places) met(node, addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if node == "" || addr == "" || node == p.set.Node || p.roster.Address(node) != "" || p.strangers[node] == addr {
		return false
	}
	if len(p.strangers) >= maxMet {
		clear(p.strangers)
	}
	p.strangers[node] = addr
	return true
}

// address returns where an agent takes connections, "" if it isn't known.
func (p *places) address(node string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if addr := p.roster.Address(node); addr != "" {
		return addr
	}
	return p.strangers[node]
}

// peers returns the other known agents.
func (p *places) peers() []relay.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []relay.Peer
	for _, rec := range p.roster.Records() {
		list = append(list, relay.Peer{Name: rec.Node, Link: rec.Link})
	}
	for name := range p.strangers {
		if p.roster.Address(name) != "" {
			delete(p.strangers, name)
			continue
		}
		list = append(list, relay.Peer{Name: name})
	}
	return list
}

// size returns the number of known agents, this one included.
func (p *places) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Len() + 1
}

// report turns the load that came with an answer into that of core.
func report(l mesh.Load) types.Report {
	return types.NewReport(types.ReportSpec{
		InFlight: l.InFlight, Queued: l.Queued, Limit: l.Limit,
		Latency: time.Duration(l.LatencyUs) * time.Microsecond, Draining: l.Draining, Incarnation: l.Born, Pace: l.Pace,
	})
}
