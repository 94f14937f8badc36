package stage

import (
	"slices"
	"strings"

	"trefoilthread/core/types"
)

// Status collects the versions in force of all data centres. It is not safe
// for concurrent use.
type Status struct {
	dcs map[types.DataCentre]*dataCentreState
}

type dataCentreState struct {
	spec     DataCentreSpec
	revision int64
}

// NewStatus returns a status without data centres.
func NewStatus() *Status { return &Status{dcs: map[types.DataCentre]*dataCentreState{}} }

// SetInForce records the version in force of a data centre and reports whether
// it rose. A lower version than the known one is ignored.
func (s *Status) SetInForce(dc types.DataCentre, version int64) bool {
	d := s.state(dc)
	if version <= d.spec.InForce {
		return false
	}
	d.spec.InForce = version
	return true
}

// SetMembers records the number of live members and the leader of a data
// centre, as of a revision of the store. It reports whether they changed; an
// older revision than the known one is ignored, because it could hide live
// members.
func (s *Status) SetMembers(dc types.DataCentre, revision int64, members int, leader types.TargetID) bool {
	d := s.state(dc)
	if revision <= d.revision {
		return false
	}
	d.revision = revision
	changed := d.spec.Members != members || d.spec.Leader != leader
	d.spec.Members, d.spec.Leader = members, leader
	return changed
}

// DataCentres returns the status of all data centres, sorted by name.
func (s *Status) DataCentres() []DataCentreStatus {
	out := make([]DataCentreStatus, 0, len(s.dcs))
	for _, d := range s.dcs {
		out = append(out, DataCentreStatus{spec: d.spec})
	}
	slices.SortFunc(out, func(a, b DataCentreStatus) int {
		return strings.Compare(string(a.spec.Name), string(b.spec.Name))
	})
	return out
}

// Accepted reports whether each data centre with live members has a version in
// force.
func (s *Status) Accepted(version int64) bool { return Accepted(s.DataCentres(), version) }

// Missing returns the data centres with live members that do not have a
// version in force, sorted.
func (s *Status) Missing(version int64) []types.DataCentre { return Missing(s.DataCentres(), version) }

func (s *Status) state(dc types.DataCentre) *dataCentreState {
	d, ok := s.dcs[dc]
	if !ok {
		d = &dataCentreState{spec: DataCentreSpec{Name: dc}}
		s.dcs[dc] = d
	}
	return d
}
