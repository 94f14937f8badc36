package agent

import (
	"time"

	"trefoilthread/core/admit"
	"trefoilthread/core/link"
	"trefoilthread/core/retry"
	"trefoilthread/core/route"
	"trefoilthread/core/types"
	"trefoilthread/core/vhost"
	"trefoilthread/io/mesh"
)

// services explains the services of a request's route.
func (x *explainer) services(q *request, bodyBytes int) []ExplainedService {
	var list []ExplainedService
	for _, part := range q.route.Services() {
		forService := *q
		forService.service = part.Service
		list = append(list, x.service(&forService, part, bodyBytes, q.info.ID != "" && part.Service == q.service))
	}
	return list
}

// service explains one service of a route. chosen marks the one that the request's id selects.
// The gate is known of this agent's own target only.
func (x *explainer) service(q *request, part vhost.WeightedService, bodyBytes int, chosen bool) ExplainedService {
	known := x.entry.balancer.explain(q, bodyBytes)
	out := ExplainedService{Name: string(part.Service), Weight: part.Weight, Chosen: chosen, Targets: []ExplainedTarget{}}
	out.HedgeAfterMs, out.NoHedge = x.hedge(q, known)
	eligible := 0
	for i, c := range known.candidates {
		t := explainedTarget(c)
		isLocal := c.Target().Address() == known.localAddress
		if isLocal {
			t.Gate = x.target.explain(q.start, q.callHead(q.start, c.Target(), x.entry.callerService()))
		}
		if c.Exclusion() == route.Eligible {
			eligible++
		}
		if i == 0 && eligible == 1 {
			out.Target = t.Target
			out.BodyOffered = !isLocal && link.IsLong(bodyBytes, link.Slower(known.link, c.Target().Link()))
		}
		out.Targets = append(out.Targets, t)
	}
	switch {
	case eligible == 0 && known.isDrained:
		out.Refusal = x.refused(reasonAllDrained)
	case eligible == 0:
		out.Refusal = x.refused(reasonNoTarget)
	case eligible == 1 && out.Targets[0].isRefused():
		out.Refusal = x.refused(out.Targets[0].Gate.Reason)
	}
	for _, t := range known.drained {
		out.Targets = append(out.Targets, ExplainedTarget{
			Target: string(t.ID()), DataCentre: string(t.DataCentre()), Excluded: admit.ReasonDrained,
		})
	}
	return out
}

// isRefused reports whether the gate would refuse the request.
func (t ExplainedTarget) isRefused() bool {
	return t.Gate != nil && t.Gate.Verdict == admit.Refuse.String()
}

func explainedTarget(c route.Candidate) ExplainedTarget {
	return ExplainedTarget{
		Target: string(c.Target().ID()), DataCentre: string(c.Target().DataCentre()), Score: toMs(c.Score()),
		Excluded: c.Exclusion().String(), Trial: c.Trial(), ColdRate: c.Rate(), StartInMs: toMs(c.StartIn()),
	}
}

func toMs(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// hedge returns after what time a second attempt would be sent, or why none would be.
func (x *explainer) hedge(q *request, known serviceView) (afterMs float64, reason string) {
	d := newDispatch(x.entry, q, false)
	switch {
	case !d.tries.MayHedge(1):
		return 0, "route is at most once, or has one attempt"
	case known.hedgeAfter == 0:
		return 0, "usual latency not known yet"
	case q.start.Add(known.hedgeAfter).After(q.deadline):
		return 0, "usual latency beyond the deadline"
	case known.hedgeHold != retry.NotHeld:
		return 0, "held back now: " + known.hedgeHold.String()
	}
	return toMs(known.hedgeAfter), ""
}

// serviceView is what the balancer knows of a service.
type serviceView struct {
	candidates   []route.Candidate
	drained      []types.Target // in drained data centres
	isDrained    bool           // there are targets, all in drained data centres
	localAddress string         // of the agent, at which calls to its own target arrive
	link         float64        // of this VM in Mbit/s, 0 if unknown
	hedgeAfter   time.Duration  // 0 if unknown
	hedgeHold    retry.Hold     // why a second attempt wouldn't be sent now
}

// explain returns what is known of the service of a request with a body of n bytes. It
// changes nothing: a service without calls so far gets a picker for the moment.
func (b *balancer) explain(q *request, n int) serviceView {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := serviceView{localAddress: b.settings.advertisedAddress(), link: b.settings.Link}
	now := b.clock.Now()
	s := b.services[q.service]
	if s == nil {
		s = b.newState(q.service)
	}
	v.candidates = s.picker.Explain(now, nil, n)
	for _, t := range b.knownTargets(q.service) {
		if b.drains.Has(t.DataCentre()) {
			v.drained = append(v.drained, t)
		}
	}
	v.isDrained = len(v.drained) > 0 && len(v.candidates) == 0
	if h := s.hedgers[q.route.Name()]; h != nil {
		v.hedgeAfter, _ = h.Forecast(now)
	}
	v.hedgeHold = b.hedgeHold(now, s, v.candidates)
	return v
}

// hedgeHold returns why a second attempt wouldn't be sent now, apart from the retry budget and
// from whether another target is faster, which shows only after the first attempt.
func (b *balancer) hedgeHold(now time.Time, s *serviceState, candidates []route.Candidate) retry.Hold {
	v := retry.HedgeView{Load: s.picker.Load(now)}
	if len(candidates) > 1 && candidates[1].Exclusion() == route.Eligible { // eligible ones come first
		v.IsFaster, v.IsCold = true, s.picker.IsCold(now, candidates[1].Target().ID())
	}
	return s.hedges.Check(v)
}

// explain returns what the gate would decide on a call now.
func (t *localTarget) explain(now time.Time, head *mesh.CallHead) *ExplainedGate {
	if head.ID == "" {
		head.ID = "explain" // a call needs an id
	}
	call, err := callOf(now, head)
	if err != nil {
		return &ExplainedGate{Verdict: admit.Refuse.String(), Reason: err.Error()}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if reason := t.refusalReason(now, head); reason != "" {
		return &ExplainedGate{Verdict: admit.Refuse.String(), Reason: reason}
	}
	v, reason := t.gate.Forecast(now, call, 0)
	return &ExplainedGate{Verdict: v.String(), Reason: reason}
}
