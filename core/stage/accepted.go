package stage

import (
	"slices"

	"trefoilthread/core/types"
)

// Accepted reports whether every data centre with live members has the given
// version or a later one in force. It returns false if dcs has no data centre
// with live members, because nothing then shows that any daemon has applied
// the version.
func Accepted(dcs []DataCentreStatus, version int64) bool {
	anyLive := false
	for _, d := range dcs {
		if d.spec.Members == 0 {
			continue
		}
		if d.spec.InForce < version {
			return false
		}
		anyLive = true
	}
	return anyLive
}

// Missing returns the sorted names of the data centres with live members whose
// version in force is lower than the given version.
func Missing(dcs []DataCentreStatus, version int64) []types.DataCentre {
	var out []types.DataCentre
	for _, d := range dcs {
		if d.spec.Members > 0 && d.spec.InForce < version {
			out = append(out, d.spec.Name)
		}
	}
	slices.Sort(out)
	return out
}
