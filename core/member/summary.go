package member

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"trefoilthread/core/types"
)

// summaryFormat is raised when older daemons could not read a summary.
const summaryFormat = 1

// ErrSummary means that a summary cannot be read.
var ErrSummary = errors.New("malformed member summary")

// Summary is the state of all members of one data centre, sorted by target.
// The zero value is older than any other.
type Summary struct {
	dc       types.DataCentre
	epoch    uint64
	sequence uint64
	records  []record
}

type summaryWire struct {
	_          struct{} `cbor:",toarray"`
	Format     int
	DataCentre string
	Epoch      uint64
	Sequence   uint64
	Services   []string
	Records    []recordWire
}

// DataCentre returns the data centre described.
func (s Summary) DataCentre() types.DataCentre { return s.dc }

// Epoch returns the epoch of the leader that made the summary.
func (s Summary) Epoch() uint64 { return s.epoch }

// Sequence orders the summaries of one epoch.
func (s Summary) Sequence() uint64 { return s.sequence }

// Len returns the number of targets.
func (s Summary) Len() int { return len(s.records) }

// Target returns the target at i, of Len.
func (s Summary) Target(i int) types.Target { return s.records[i].target }

// Newer reports whether s replaces o.
func (s Summary) Newer(o Summary) bool {
	if s.epoch != o.epoch {
		return s.epoch > o.epoch
	}
	return s.sequence > o.sequence
}

// Encode returns the summary in CBOR.
func (s Summary) Encode() ([]byte, error) {
	w := summaryWire{
		Format: summaryFormat, DataCentre: string(s.dc), Epoch: s.epoch, Sequence: s.sequence,
		Records: make([]recordWire, len(s.records)),
	}
	index := map[types.ServiceName]int{}
	for i, r := range s.records {
		t := r.target
		n, ok := index[t.Service()]
		if !ok {
			n = len(w.Services)
			index[t.Service()] = n
			w.Services = append(w.Services, string(t.Service()))
		}
		w.Records[i] = recordWire{
			ID: string(t.ID()), Service: n, Address: t.Address(), Slots: t.Slots(),
			Incarnation: t.Incarnation(), Sequence: t.Sequence(), State: uint8(t.State()), Process: r.process,
		}
	}
	return cbor.Marshal(w)
}

// DecodeSummary reads a summary. It fails with ErrSummary.
func DecodeSummary(b []byte) (Summary, error) {
	var w summaryWire
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Summary{}, errors.Mark(errors.Wrap(err, "member summary"), ErrSummary)
	}
	if w.Format != summaryFormat {
		return Summary{}, errors.Wrapf(ErrSummary, "format %d, want %d", w.Format, summaryFormat)
	}
	s := Summary{
		dc: types.DataCentre(w.DataCentre), epoch: w.Epoch, sequence: w.Sequence,
		records: make([]record, len(w.Records)),
	}
	for i, r := range w.Records {
		if r.Service < 0 || r.Service >= len(w.Services) || r.State > uint8(types.Down) {
			return Summary{}, errors.Wrapf(ErrSummary, "target %d: service %d, state %d", i, r.Service, r.State)
		}
		s.records[i] = record{process: r.Process, target: types.NewTarget(types.TargetSpec{
			ID: types.TargetID(r.ID), Service: types.ServiceName(w.Services[r.Service]), DataCentre: s.dc,
			Address: r.Address, Slots: r.Slots, Incarnation: r.Incarnation, Sequence: r.Sequence,
			State: types.TargetState(r.State),
		})}
	}
	slices.SortFunc(s.records, compareRecords)
	return s, nil
}

func compareRecords(a, b record) int {
	switch {
	case a.target.ID() < b.target.ID():
		return -1
	case a.target.ID() > b.target.ID():
		return 1
	}
	return 0
}
