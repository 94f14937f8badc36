package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"trefoilthread/core/types"
)

// ranked is a target with its rendezvous weight for this daemon.
type ranked struct {
	weight uint64
	m      *member
}

// Update replaces the membership. Targets that stay with the same incarnation
// keep their statistics. Others start anew with slow start, except when no
// target was known before: then this daemon started, not they.
func (p *Picker) Update(now time.Time, targets []types.Target) {
	p.round++
	at := p.since(now)
	started := at
	if len(p.byID) == 0 {
		started = never
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
				p.replace(at, m, t)
			}
			continue
		default:
			p.replace(at, m, t)
		}
		m.round = p.round
		p.members = append(p.members, m)
	}
	for id, m := range p.byID {
		if m.round != p.round {
			p.restart(m, never)
			delete(p.byID, id)
		}
	}
	p.selectSubset()
}

// replace sets the membership's view of a known target.
func (p *Picker) replace(now time.Duration, m *member, t types.Target) {
	old := m.target
	switch {
	case t.Incarnation() < m.incarnation:
		// The membership is behind what a report or an earlier one said.
		return
	case t.Incarnation() > m.incarnation:
		p.restart(m, now)
		m.incarnation = t.Incarnation()
	case old.State() == types.Down && t.State() == types.Up:
		// The target restarted without its daemon.
		p.restart(m, now)
	case t.Newer(old) && t.State() == types.Up:
		m.drained = never
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
		chosen = p.rank(g.nearest)
	}
	p.subset = p.subset[:0]
	for i := range p.groupEnd {
		for _, r := range chosen {
			if g.of(r.m.distance) == i {
				p.subset = append(p.subset, r.m)
			}
		}
		p.groupEnd[i] = len(p.subset)
	}
	p.suspended = 0
	for _, m := range p.subset {
		m.inSubset = true
		if m.suspended {
			p.suspended++
		}
	}
	clear(p.ranked) // removed targets must not stay reachable
	clear(p.subset[len(p.subset):cap(p.subset)])
	clear(p.members[len(p.members):cap(p.members)])
}

// nearShare of nearShareOf places of a subset go to the nearest targets first.
// The rest takes what they can't when their data centre is busy or lost.
const (
	nearShare   = 2
	nearShareOf = 3
)

// rank returns the Subset targets with the highest weight, after up to two
// thirds of the places went to the nearest ones.
func (p *Picker) rank(nearest time.Duration) []ranked {
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
