package stage

import "trefoilthread/core/types"

// DataCentreSpec lists the properties of a DataCentreStatus.
type DataCentreSpec struct {
	Name    types.DataCentre
	InForce int64
	Members int
	Leader  types.TargetID
}

// DataCentreStatus is what operators see of one data centre.
type DataCentreStatus struct {
	spec DataCentreSpec
}

// NewDataCentreStatus returns the status with the given properties.
func NewDataCentreStatus(s DataCentreSpec) DataCentreStatus { return DataCentreStatus{spec: s} }

// Name returns the name of the data centre.
func (d DataCentreStatus) Name() types.DataCentre { return d.spec.Name }

// InForce returns the version that all counted members have in force.
func (d DataCentreStatus) InForce() int64 { return d.spec.InForce }

// Members returns the number of live members.
func (d DataCentreStatus) Members() int { return d.spec.Members }

// Leader returns the daemon that leads the data centre, or "".
func (d DataCentreStatus) Leader() types.TargetID { return d.spec.Leader }
