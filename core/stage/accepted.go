package stage

import (
	"slices"

	"trefoilthread/core/types"
)

// Accepted reports whether each data centre with live members has a version in
// force. It is false while no such data centre is known: a daemon that has
// heard of none cannot vouch for any.
func Accepted(list []DataCentreStatus, version int64) bool {
	known := false
	for _, d := range list {
		if d.spec.Members == 0 {
			continue
		}
		if d.spec.InForce < version {
			return false
		}
		known = true
	}
	return known
}

// Missing returns the data centres with live members that do not have a
// version in force, sorted.
func Missing(list []DataCentreStatus, version int64) []types.DataCentre {
	var out []types.DataCentre
	for _, d := range list {
		if d.spec.Members > 0 && d.spec.InForce < version {
			out = append(out, d.spec.Name)
		}
	}
	slices.Sort(out)
	return out
}
