package member

import "trefoilthread/core/types"

// record is a target with the process that announced it.
type record struct {
	target  types.Target
	process uint64
}

// recordWire is record as the codec needs it. Service is an index into the
// summary's list of services, because few services have many targets.
type recordWire struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Service     int
	Address     string
	Slots       int
	Incarnation uint64
	Sequence    uint64
	State       uint8
	Process     uint64
}

// withState returns t with another state and sequence.
func withState(t types.Target, s types.TargetState, incarnation, sequence uint64) types.Target {
	return types.NewTarget(types.TargetSpec{
		ID: t.ID(), Service: t.Service(), DataCentre: t.DataCentre(), Address: t.Address(),
		Slots: t.Slots(), Incarnation: incarnation, Sequence: sequence, State: s,
	})
}
