package agent

import (
	"context"

	"trefoilthread/core/retry"
	"trefoilthread/core/route"
	"trefoilthread/core/types"
)

// takeHedge decides about a second attempt of a request, and chooses its target. If it isn't
// held, the call counts as started.
func (b *balancer) takeHedge(q *request, tried []types.TargetID, isStopping bool) (types.Target, route.Token, retry.Hold) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, now := b.service(q.service), b.clock.Now()
	t, isFaster := s.picker.PickFaster(now, tried, len(q.req.Body))
	hold := s.hedges.Take(now, retry.HedgeView{
		IsStopping: isStopping, Load: s.picker.Load(now), IsFaster: isFaster,
		IsCold: isFaster && s.picker.IsCold(now, t.ID()),
	}, s.budget, q.urgency())
	if hold != retry.NotHeld {
		return types.Target{}, route.Token{}, hold
	}
	return t, s.picker.Start(now, t.ID()), hold
}

// hedge sends the request to a second target while the first attempt is in flight, if the
// limits allow it. The attempt is prompt: the second target refuses it if the answer would
// miss its goal.
func (d *dispatch) hedge(ctx context.Context) {
	if !d.tries.MayHedge(d.inFlight) {
		return
	}
	e := d.entry
	t, tok, hold := e.balancer.takeHedge(d.request, d.tried, e.stop() != nil)
	if hold != retry.NotHeld {
		e.metrics.countHold(hold)
		return
	}
	e.metrics.countEvent("hedges_sent")
	d.hedged = true
	d.send(ctx, t, tok, attempt{isPrompt: true, isHedge: true})
}

// recordHedge counts whether the hedge of an answered request, if there was one, gave the
// response, and whether the other attempt is canceled.
func (d *dispatch) recordHedge(isHedge bool) {
	if isHedge {
		d.entry.metrics.countEvent("hedges_won")
	}
	if d.hedged && d.inFlight > 0 {
		d.entry.metrics.countEvent("hedges_canceled")
	}
}

// countHold counts a hedge that wasn't sent, by the reason.
func (m *metrics) countHold(h retry.Hold) {
	m.scope.Tagged(map[string]string{"reason": h.String()}).Counter("hedges_held").Inc(1)
}
