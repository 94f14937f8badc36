package entry

import (
	"sync"
	"time"

	"trefoilthread/core/route"
	"trefoilthread/core/types"
)

// pool holds the picker of one service and makes it safe for concurrent use.
type pool struct {
	mu     sync.Mutex
	picker *route.Picker
}

func (p *pool) update(now time.Time, targets []types.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.Update(now, targets)
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
