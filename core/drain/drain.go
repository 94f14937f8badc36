// Package drain holds which data centres operators have drained, and decides which targets
// are left. Nothing is sent to the targets of a drained data centre until its drain ends.
//
// The state lives in the store, one key for each drained data centre. Each daemon follows
// the keys and applies them to its own Set, so no message between daemons is needed.
//
// # Usage
//
//	s := drain.New()
//	s.Set("np-east", true)
//	for _, l := range s.Left(targets, callsInUse) {
//		if l.IsShort() {
//			warn(l.Service)
//		}
//	}
//	targets = s.Filter(targets)
package drain

import (
	"cmp"
	"slices"

	"trefoilthread/core/types"
)

// Set is the set of drained data centres. It isn't safe for concurrent use.
type Set struct {
	names map[types.DataCentre]bool
}

// New returns an empty Set.
func New() *Set { return &Set{names: make(map[types.DataCentre]bool)} }

// Set records whether a data centre is drained.
func (s *Set) Set(dc types.DataCentre, drained bool) {
	if drained {
		s.names[dc] = true
		return
	}
	delete(s.names, dc)
}

// Has reports whether a data centre is drained.
func (s *Set) Has(dc types.DataCentre) bool { return s.names[dc] }

// Len returns the number of drained data centres.
func (s *Set) Len() int { return len(s.names) }

// Filter removes the targets of drained data centres from list, in place.
func (s *Set) Filter(list []types.Target) []types.Target {
	if len(s.names) == 0 {
		return list
	}
	return slices.DeleteFunc(list, func(t types.Target) bool { return s.names[t.DataCentre()] })
}

// Left is what is left of a service during the present drains.
type Left struct {
	Service types.ServiceName
	Targets int // that take calls
	Slots   int // of these
	Drained int // targets that would take calls without the drains
	InUse   float64
}

// IsShort reports whether the targets left have fewer slots than calls were in use.
func (l Left) IsShort() bool { return float64(l.Slots) < l.InUse }

// Left returns what is left of the services of the targets, sorted by name. inUse holds the
// calls in use at all targets of a service.
func (s *Set) Left(targets []types.Target, inUse map[types.ServiceName]float64) []Left {
	found := make(map[types.ServiceName]Left)
	for _, t := range targets {
		if t.State() != types.Up {
			continue
		}
		l := found[t.Service()]
		if s.names[t.DataCentre()] {
			l.Drained++
		} else {
			l.Targets++
			l.Slots += t.Slots()
		}
		found[t.Service()] = l
	}
	list := make([]Left, 0, len(found))
	for name, l := range found {
		l.Service, l.InUse = name, inUse[name]
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b Left) int { return cmp.Compare(a.Service, b.Service) })
	return list
}
