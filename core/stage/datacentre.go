package stage

import "trefoilthread/core/types"

// DataCentreSpec holds the values of a DataCentreStatus. Its fields have the
// meaning of the methods of the same name.
type DataCentreSpec struct {
	Name    types.DataCentre
	InForce int64
	Members int
	Leader  types.TargetID
}

// DataCentreStatus describes one data centre to operators: its version in force,
// its number of live members and its leader.
type DataCentreStatus struct {
	spec DataCentreSpec
}

// NewDataCentreStatus returns a status with the values of s.
func NewDataCentreStatus(s DataCentreSpec) DataCentreStatus { return DataCentreStatus{spec: s} }

// Name returns the name of the data centre.
func (d DataCentreStatus) Name() types.DataCentre { return d.spec.Name }

// InForce returns the version of the configuration that all counted members
// have in force, or 0 if none is known.
func (d DataCentreStatus) InForce() int64 { return d.spec.InForce }

// Members returns the number of live members.
func (d DataCentreStatus) Members() int { return d.spec.Members }

// Leader returns the ID of the daemon that leads the data centre, or "" if it
// is not known.
func (d DataCentreStatus) Leader() types.TargetID { return d.spec.Leader }
