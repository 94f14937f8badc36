package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"trefoilthread/core/types"
)

// ranked is a target with its rendezvous hashing weight for this daemon.
type ranked struct {
	weight uint64
	m      *member
}

// Update replaces the membership. Targets that stay with the same incarnation
// keep their statistics. All others begin with empty statistics and a slow
// start, which is left out if no target was known before: then this daemon has
// started, not the targets.
func (p *Picker) Update(now time.Time, targets []types.Target) {
	p.round++
	at := p.sinceEpoch(now)
	started := at
	if len(p.byID) == 0 {
		started = longAgo
	}
	p.members = p.members[:0]
	for _, t := range targets {
		m := p.byID[t.ID()]
		switch {
		case m == nil:
			m = &member{target: t, hash: hashID(t.ID()), incarnation: t.Incarnation()}
			m.stats = newStats(started)
			m.distance = p.opts.Distance(p.opts.DataCentre, t.DataCentre())
			p.byID[t.ID()] = m
		case m.round == p.round:
			if t.Newer(m.target) {
				p.updateMember(at, m, t)
			}
			continue
		default:
			p.updateMember(at, m, t)
		}
		m.round = p.round
		p.members = append(p.members, m)
	}
	for id, m := range p.byID {
		if m.round != p.round {
			p.resetStats(m, longAgo)
			delete(p.byID, id)
		}
	}
	p.selectSubset()
}

// updateMember applies a membership record to a known target.
func (p *Picker) updateMember(now time.Duration, m *member, t types.Target) {
	old := m.target
	switch {
	case t.Incarnation() < m.incarnation:
		// A report or an earlier membership record had a later incarnation.
		return
	case t.Incarnation() > m.incarnation:
		p.resetStats(m, now)
		m.incarnation = t.Incarnation()
	case old.State() == types.Down && t.State() == types.Up:
		// The target restarted without its daemon.
		p.resetStats(m, now)
	case t.Newer(old) && t.State() == types.Up:
		m.drainingUntil = longAgo
	}
	m.target = t
	if t.DataCentre() != old.DataCentre() {
		m.distance = p.opts.Distance(p.opts.DataCentre, t.DataCentre())
	}
}

// selectSubset chooses the targets that Pick uses and orders them by groups.
func (p *Picker) selectSubset() {
	p.ranked = p.ranked[:0]
	g := grouping{nearest: math.MaxInt64, next: math.MaxInt64}
	for _, m := range p.members {
		m.inSubset = false
		if m.target.State() == types.Up {
			p.ranked = append(p.ranked, ranked{m: m})
			g.add(m.distance)
		}
	}
	chosen := p.ranked
	if len(chosen) > p.opts.Subset {
		chosen = p.topRanked(g.nearest)
	}
	p.subset = p.subset[:0]
	for i := range p.groupEnd {
		for _, r := range chosen {
			if g.groupOf(r.m.distance) == i {
				p.subset = append(p.subset, r.m)
			}
		}
		p.groupEnd[i] = len(p.subset)
	}
	p.suspendedCount = 0
	for _, m := range p.subset {
		m.inSubset = true
		if m.suspended {
			p.suspendedCount++
		}
	}
	clear(p.ranked) // removed targets must not stay reachable
	clear(p.subset[len(p.subset):cap(p.subset)])
	clear(p.members[len(p.members):cap(p.members)])
}

// At most nearShare/nearShareOf of a subset is reserved for the nearest targets.
// The rest takes over calls when their data centre is overloaded or lost.
const (
	nearShare   = 2
	nearShareOf = 3
)

// topRanked returns Subset targets, those with the highest weight first among the
// nearest for up to two thirds of them, then among all others.
func (p *Picker) topRanked(nearest time.Duration) []ranked {
	for i := range p.ranked {
		p.ranked[i].weight = rendezvous(p.selfHash, p.ranked[i].m.hash)
	}
	slices.SortFunc(p.ranked, func(a, b ranked) int {
		if a.weight != b.weight {
			return cmp.Compare(b.weight, a.weight)
		}
		return cmp.Compare(a.m.target.ID(), b.m.target.ID())
	})
	reserved := p.opts.Subset * nearShare / nearShareOf
	chosen := make([]ranked, 0, p.opts.Subset)
	for pass := range 2 {
		for _, r := range p.ranked {
			isReserved := r.m.distance == nearest && len(chosen) < reserved
			if pass == 0 && isReserved || pass == 1 && !r.m.inSubset && len(chosen) < p.opts.Subset {
				r.m.inSubset = true
				chosen = append(chosen, r)
			}
		}
	}
	return chosen
}
