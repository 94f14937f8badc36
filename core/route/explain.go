package route

import (
	"cmp"
	"slices"
	"time"

	"trefoilthread/core/types"
)

// Explain returns all targets as PickForBody with the same arguments and the policy Weighted
// would see them, without changing the Picker: the eligible ones first, in the order of their
// scores, those that are due for a trial call behind them, then the excluded ones.
//
// The first one is the best choice by score. PickForBody samples at random among the eligible
// ones, so it may choose another one; a trial call and, once in 15 s, a call that explores
// deviate from the order as well. Stragglers are suspended when a decision meets them. If
// they and the suspended targets are more than half of the subset, it depends on the sample
// which of them count as suspended, and Explain excludes none of them.
func (p *Picker) Explain(now time.Time, tried []types.TargetID, n int) []Candidate {
	if len(p.members) == 0 {
		return nil
	}
	defer func(tried []types.TargetID, body int) { p.tried, p.body = tried, body }(p.tried, p.body)
	p.tried, p.body = tried, n
	at := p.sinceEpoch(now)
	suspends := p.wouldSuspend(at)
	list := make([]Candidate, 0, len(p.members))
	for _, m := range p.members {
		list = append(list, p.candidate(at, m, suspends))
	}
	if !slices.ContainsFunc(list, func(c Candidate) bool { return c.exclusion == Eligible && !c.trial }) {
		includeLastResort(list)
	}
	slices.SortFunc(list, compareCandidates)
	return list
}

// wouldSuspend reports whether suspensions would still apply if a decision met all targets
// of the subset.
func (p *Picker) wouldSuspend(now time.Duration) bool {
	n := p.suspendedCount
	for _, m := range p.subset {
		if p.isUntried(now, m) && now >= m.unreachedUntil && !m.suspended && p.isStraggler(now, m) {
			n++
		}
	}
	return p.suspensionsApply(n)
}

// candidate returns m as a decision would see it. suspends tells whether suspensions apply.
func (p *Picker) candidate(now time.Duration, m *member, suspends bool) Candidate {
	c := Candidate{Status: p.status(now, m), startIn: m.starts.delay(now)}
	if m.starts.isActive(now) {
		c.rate = m.starts.rate
	}
	switch {
	case slices.Contains(p.tried, m.target.ID()):
		c.exclusion = ExcludedTried
	case m.target.State() == types.Down:
		c.exclusion = ExcludedDown
	case !m.isUsable(now):
		c.exclusion = ExcludedDraining
	case !m.inSubset:
		c.exclusion = ExcludedSubset
	case now < m.unreachedUntil:
		c.exclusion = ExcludedUnreached
	case suspends && m.suspended && p.isTrialDue(now, m, p.picks+1):
		c.trial = true
	case suspends && (m.suspended || p.isStraggler(now, m)):
		c.exclusion = ExcludedSuspended
	}
	return c
}

// includeLastResort makes the targets eligible that are chosen if no other one is usable.
func includeLastResort(list []Candidate) {
	for i := range list {
		if e := list[i].exclusion; e == ExcludedSuspended || e == ExcludedUnreached {
			list[i].exclusion = Eligible
		}
	}
}

// compareCandidates orders the candidates of one decision.
func compareCandidates(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(a.place(), b.place()), cmp.Compare(a.score, b.score), compareStatus(a.Status, b.Status),
	)
}

// place returns 0 for an eligible target, 1 for one that gets a trial call, 2 for others.
func (c Candidate) place() int {
	switch {
	case c.exclusion != Eligible:
		return 2
	case c.trial:
		return 1
	}
	return 0
}
