package route

import (
	"math"
	"slices"
	"time"

	"trefoilthread/core/types"
)

// PickFaster selects the target with the lowest score for a second attempt of a call with a
// body of n bytes, and reports whether it is lower than that of the last target in tried,
// where the first attempt still runs. Only targets that take calls and aren't in tried are
// compared, those excluded that are suspended or weren't reached a moment ago.
func (p *Picker) PickFaster(now time.Time, tried []types.TargetID, n int) (t types.Target, isFaster bool) {
	at := p.sinceEpoch(now)
	p.body = n
	var best *member
	lowest := math.Inf(1)
	for _, m := range p.subset {
		if !p.takesCalls(at, m) || slices.Contains(tried, m.target.ID()) {
			continue
		}
		if s := p.score(at, m, math.Inf(1)); s < lowest {
			best, lowest = m, s
		}
	}
	if best == nil || len(tried) == 0 {
		return types.Target{}, false
	}
	first := p.byID[tried[len(tried)-1]]
	return best.target, first == nil || lowest < p.score(at, first, math.Inf(1))
}

// IsCold reports whether a target has said that it takes only some calls a second while it is
// cold.
func (p *Picker) IsCold(now time.Time, id types.TargetID) bool {
	m := p.byID[id]
	return m != nil && m.starts.isActive(p.sinceEpoch(now))
}

// Load returns the share of the slots in use at the targets of the subset that take calls, by
// this daemon's calls and the reports of the others'. Calls that wait count as well, so it
// may be above 1; it is 1 without such a target.
func (p *Picker) Load(now time.Time) float64 {
	at := p.sinceEpoch(now)
	var used, slots float64
	for _, m := range p.subset {
		if p.takesCalls(at, m) {
			used += float64(m.inFlight) + p.otherCallsAt(at, m)
			slots += m.slots(at, p.serviceLatency())
		}
	}
	if slots == 0 {
		return 1
	}
	return used / slots
}

// takesCalls reports whether m takes calls other than trials.
func (p *Picker) takesCalls(now time.Duration, m *member) bool {
	return m.isUsable(now) && !m.suspended && now >= m.unreachedUntil
}
