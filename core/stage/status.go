package stage

import (
	"slices"
	"strings"

	"trefoilthread/core/types"
)

// Status holds the latest reports of all data centres. It is not safe for
// concurrent use.
type Status struct {
	dcs map[types.DataCentre]*dataCentreState
}

type dataCentreState struct {
	spec     DataCentreSpec
	revision int64 // of the last report that SetMembers took
}

// NewStatus returns a Status without data centres.
func NewStatus() *Status { return &Status{dcs: map[types.DataCentre]*dataCentreState{}} }

// SetInForce records the version in force of a data centre and reports whether
// it rose. A lower version than the known one is from a late report and is
// ignored.
func (s *Status) SetInForce(dc types.DataCentre, version int64) bool {
	d := s.getOrCreate(dc)
	if version <= d.spec.InForce {
		return false
	}
	d.spec.InForce = version
	return true
}

// SetMembers records the number of live members and the leader of a data
// centre, and reports whether they changed. The revision must be above 0 and
// orders the reports of one data centre. A report whose revision is not above
// the last one is ignored, because an outdated one could hide live members.
func (s *Status) SetMembers(dc types.DataCentre, revision int64, members int, leader types.TargetID) bool {
	d := s.getOrCreate(dc)
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

// Accepted reports whether every data centre with live members has the version
// or a later one in force, as the function Accepted does.
func (s *Status) Accepted(version int64) bool { return Accepted(s.DataCentres(), version) }

// Missing returns the sorted names of the data centres with live members whose
// version in force is lower, as the function Missing does.
func (s *Status) Missing(version int64) []types.DataCentre { return Missing(s.DataCentres(), version) }

// getOrCreate returns the state of a data centre, and adds an empty one if the
// data centre is not known yet.
func (s *Status) getOrCreate(dc types.DataCentre) *dataCentreState {
	d, ok := s.dcs[dc]
	if !ok {
		d = &dataCentreState{spec: DataCentreSpec{Name: dc}}
		s.dcs[dc] = d
	}
	return d
}
