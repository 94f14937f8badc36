package member

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"trefoilthread/core/types"
)

// summaryFormat has to be raised with a change that older daemons cannot decode.
const summaryFormat = 1

// ErrSummary means that a summary or a delta cannot be decoded.
var ErrSummary = errors.New("malformed member summary")

// Summary is the state of all members of one data centre, sorted by target.
// The zero value is older than any other.
type Summary struct {
	dc       types.DataCentre
	epoch    uint64
	sequence uint64
	records  []record
}

// summaryWire is the encoded form of Summary, a CBOR array.
type summaryWire struct {
	_          struct{} `cbor:",toarray"`
	Format     int
	DataCentre string
	Epoch      uint64
	Sequence   uint64
	Services   []string
	Records    []recordWire
}

// DataCentre returns the data centre that the summary describes.
func (s Summary) DataCentre() types.DataCentre { return s.dc }

// Epoch returns the epoch of the leader that made the summary.
func (s Summary) Epoch() uint64 { return s.epoch }

// Sequence returns the number that orders the summaries of one epoch.
func (s Summary) Sequence() uint64 { return s.sequence }

// Len returns the number of targets.
func (s Summary) Len() int { return len(s.records) }

// Target returns the target at index i, which is below Len.
func (s Summary) Target(i int) types.Target { return s.records[i].target }

// Newer reports whether s replaces o.
func (s Summary) Newer(o Summary) bool {
	if s.epoch != o.epoch {
		return s.epoch > o.epoch
	}
	return s.sequence > o.sequence
}

// Encode returns the summary in CBOR: about 60 bytes for each target with a name
// of 18 bytes and an IPv4 address, 31 KB for 520 targets.
func (s Summary) Encode() ([]byte, error) {
	services, records := packRecords(s.records)
	return cbor.Marshal(summaryWire{
		Format: summaryFormat, DataCentre: string(s.dc), Epoch: s.epoch, Sequence: s.sequence,
		Services: services, Records: records,
	})
}

// DecodeSummary decodes a summary. It fails with ErrSummary.
func DecodeSummary(b []byte) (Summary, error) {
	var w summaryWire
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Summary{}, errors.Mark(errors.Wrap(err, "member summary"), ErrSummary)
	}
	if w.Format != summaryFormat {
		return Summary{}, errors.Wrapf(ErrSummary, "format %d, want %d", w.Format, summaryFormat)
	}
	s := Summary{dc: types.DataCentre(w.DataCentre), epoch: w.Epoch, sequence: w.Sequence}
	var err error
	s.records, err = unpackRecords(s.dc, w.Services, w.Records)
	return s, err
}
