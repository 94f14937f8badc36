package member

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/types"
)

// record is a target with the process that announced it.
type record struct {
	target  types.Target
	process uint64
}

// recordWire is the encoded form of record, a CBOR array. Service is an index into
// the summary's list of services, which saves space because many targets share a
// service.
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

// packRecords returns the encoded form of records and the list of services that
// they refer to.
func packRecords(records []record) (services []string, out []recordWire) {
	out = make([]recordWire, len(records))
	index := map[types.ServiceName]int{}
	for i, r := range records {
		t := r.target
		n, ok := index[t.Service()]
		if !ok {
			n = len(services)
			index[t.Service()] = n
			services = append(services, string(t.Service()))
		}
		out[i] = recordWire{
			ID: string(t.ID()), Service: n, Address: t.Address(), Slots: t.Slots(),
			Incarnation: t.Incarnation(), Sequence: t.Sequence(), State: uint8(t.State()), Process: r.process,
		}
	}
	return services, out
}

// unpackRecords checks, decodes and sorts records. It fails with ErrSummary.
func unpackRecords(dc types.DataCentre, services []string, in []recordWire) ([]record, error) {
	out := make([]record, len(in))
	for i, r := range in {
		if r.Service < 0 || r.Service >= len(services) || r.State > uint8(types.Down) {
			return nil, errors.Wrapf(ErrSummary, "target %d: service %d, state %d", i, r.Service, r.State)
		}
		out[i] = record{process: r.Process, target: types.NewTarget(types.TargetSpec{
			ID: types.TargetID(r.ID), Service: types.ServiceName(services[r.Service]), DataCentre: dc,
			Address: r.Address, Slots: r.Slots, Incarnation: r.Incarnation, Sequence: r.Sequence,
			State: types.TargetState(r.State),
		})}
	}
	slices.SortFunc(out, compareRecords)
	return out, nil
}

// compareRecords orders records by target id.
func compareRecords(a, b record) int {
	return strings.Compare(string(a.target.ID()), string(b.target.ID()))
}

// withState returns t with the given state, incarnation and sequence.
func withState(t types.Target, s types.TargetState, incarnation, sequence uint64) types.Target {
	return types.NewTarget(types.TargetSpec{
		ID: t.ID(), Service: t.Service(), DataCentre: t.DataCentre(), Address: t.Address(),
		Slots: t.Slots(), Incarnation: incarnation, Sequence: sequence, State: s,
	})
}
