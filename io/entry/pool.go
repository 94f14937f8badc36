package entry

import (
	"sync"
	"time"

	"trefoilthread/core/retry"
	"trefoilthread/core/route"
	"trefoilthread/core/types"
)

// pool holds the decisions about one service and makes them safe for concurrent
// use.
type pool struct {
	// refresh is held from reading the targets until the picker has them.
	refresh sync.Mutex

	mu     sync.Mutex
	picker *route.Picker
	budget *retry.Budget
	hedger *retry.Hedger

	budgetOpts retry.BudgetOptions
	hedgerOpts retry.HedgerOptions
}

// setRetries makes new budgets if the configuration of the service has other
// shares than before.
func (p *pool) setRetries(b retry.BudgetOptions, h retry.HedgerOptions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.budget == nil || b != p.budgetOpts {
		p.budgetOpts, p.budget = b, retry.NewBudget(b)
	}
	if p.hedger == nil || h != p.hedgerOpts {
		p.hedgerOpts, p.hedger = h, retry.NewHedger(h)
	}
}

func (p *pool) update(now time.Time, targets []types.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.Update(now, targets)
}

// called counts a call, which earns retries and hedges.
func (p *pool) called(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.RecordCall(now)
	p.hedger.RecordCall()
}

// mayRetry decides on another attempt and takes it from the budget unless it is
// free.
func (p *pool) mayRetry(now time.Time, c types.Call, o types.Outcome, tries int, replayable, free bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	proven := o == types.NotRun
	if retry.Decide(c, c.Depth(), o, proven, tries, replayable, free || p.budget.Available(now)) != retry.Retry {
		return false
	}
	return free || p.budget.Take(now)
}

// hedgeAfter returns how long to wait for an answer before a second attempt,
// or false if the call is not to be hedged.
func (p *pool) hedgeAfter(now time.Time, c types.Call, tries int, replayable bool) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if retry.Decide(c, c.Depth(), retry.Pending, false, tries, replayable, p.hedger.Available()) != retry.Hedge {
		return 0, false
	}
	return p.hedger.Delay(now)
}

// takeHedge takes one hedge from its budget.
func (p *pool) takeHedge() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hedger.Take()
}

// took records the latency of a whole answer.
func (p *pool) took(now time.Time, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hedger.RecordLatency(now, d)
}

// start picks a target that was not tried yet and counts the attempt.
func (p *pool) start(now time.Time, tried []types.TargetID) (types.Target, route.Token, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.picker.Pick(now, tried)
	if !ok {
		return t, route.Token{}, false
	}
	return t, p.picker.Start(now, t.ID()), true
}

// startFor picks the one target on which a suspect may run.
func (p *pool) startFor(now time.Time, fp types.Fingerprint) (types.Target, route.Token, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.picker.PickFor(now, fp)
	if !ok {
		return t, route.Token{}, false
	}
	return t, p.picker.Start(now, t.ID()), true
}

func (p *pool) finish(now time.Time, tok route.Token, res route.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.Finish(now, tok, res)
}
