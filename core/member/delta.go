package member

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"trefoilthread/core/types"
)

// maxChanges bounds the changes that a table keeps to build deltas. At full size
// a data centre has about a hundred restarts a day with a few changes each.
const maxChanges = 1024

// Delta is the change from one summary of a data centre to a later one. It holds
// the present record of each target that has changed, so a delta of Table.Delta
// may be applied to any summary between the two; one of Summary.DeltaFrom
// applies to the earlier one only.
type Delta struct {
	to        Summary // without records
	from      uint64  // lowest sequence of the same epoch that it applies to
	baseEpoch uint64  // epoch and sequence of the base: the old summary if exact,
	baseSeq   uint64  // otherwise the one that sequence 1 repeats
	exact     bool    // applies to the base only
	records   []record
	gone      []types.TargetID
}

// deltaWire is the encoded form of Delta, a CBOR array.
type deltaWire struct {
	_          struct{} `cbor:",toarray"`
	Format     int
	DataCentre string
	Epoch      uint64
	Sequence   uint64
	From       uint64
	BaseEpoch  uint64
	BaseSeq    uint64
	Services   []string
	Records    []recordWire
	Gone       []string
	Exact      bool
}

// recordChange raises the sequence and keeps the id of the changed target for
// Delta.
func (t *Table) recordChange(id types.TargetID) {
	t.sequence++
	if len(t.changes) == maxChanges {
		t.changes = slices.Clone(t.changes[maxChanges/2:])
	}
	t.changes = append(t.changes, id)
}

// Delta returns the changes since the summary with the given epoch and
// sequence. It reports false if they are no longer kept, so that the whole
// summary has to be sent.
func (t *Table) Delta(epoch, sequence uint64) (Delta, bool) {
	if epoch == t.base.epoch && sequence == t.base.sequence {
		sequence = 1
	} else if epoch != t.spec.Epoch {
		return Delta{}, false
	}
	if sequence > t.sequence || t.sequence-sequence > uint64(len(t.changes)) {
		return Delta{}, false
	}
	d := Delta{
		to:   Summary{dc: t.spec.DataCentre, epoch: t.spec.Epoch, sequence: t.sequence},
		from: sequence, baseEpoch: t.base.epoch, baseSeq: t.base.sequence,
	}
	ids := slices.Clone(t.changes[len(t.changes)-int(t.sequence-sequence):])
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		if e := t.members[id]; e != nil {
			d.records = append(d.records, e.record)
		} else {
			d.gone = append(d.gone, id)
		}
	}
	return d, true
}

// ApplyDelta applies a delta to the known summary of its data centre and reports
// whether that was possible. If not, the delta is ignored, and if it is newer
// than the known summary, the whole summary has to be fetched.
func (d *Directory) ApplyDelta(dl Delta) bool {
	known := d.Summary(dl.to.dc)
	inRange := !dl.exact && known.epoch == dl.to.epoch && known.sequence >= dl.from
	atBase := known.epoch == dl.baseEpoch && known.sequence == dl.baseSeq && (dl.exact || dl.from <= 1)
	if !dl.to.Newer(known) || !inRange && !atBase {
		return false
	}
	next := dl.to
	next.records = make([]record, 0, len(known.records)+len(dl.records))
	for _, r := range known.records {
		if _, changed := slices.BinarySearchFunc(dl.records, r, compareRecords); changed {
			continue
		}
		if _, gone := slices.BinarySearch(dl.gone, r.target.ID()); !gone {
			next.records = append(next.records, r)
		}
	}
	next.records = append(next.records, dl.records...)
	slices.SortFunc(next.records, compareRecords)
	d.replace(next)
	return true
}

// To returns the later summary, without its targets.
func (dl Delta) To() Summary { return dl.to }

// Len returns the number of targets that have changed or gone.
func (dl Delta) Len() int { return len(dl.records) + len(dl.gone) }

// Encode returns the delta in CBOR.
func (dl Delta) Encode() ([]byte, error) {
	w := deltaWire{
		Format: summaryFormat, DataCentre: string(dl.to.dc), Epoch: dl.to.epoch, Sequence: dl.to.sequence,
		From: dl.from, BaseEpoch: dl.baseEpoch, BaseSeq: dl.baseSeq, Exact: dl.exact,
	}
	w.Services, w.Records = packRecords(dl.records)
	for _, id := range dl.gone {
		w.Gone = append(w.Gone, string(id))
	}
	return cbor.Marshal(w)
}

// DecodeDelta decodes a delta. It fails with ErrSummary.
func DecodeDelta(b []byte) (Delta, error) {
	var w deltaWire
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Delta{}, errors.Mark(errors.Wrap(err, "member delta"), ErrSummary)
	}
	if w.Format != summaryFormat {
		return Delta{}, errors.Wrapf(ErrSummary, "format %d, want %d", w.Format, summaryFormat)
	}
	dl := Delta{
		to:   Summary{dc: types.DataCentre(w.DataCentre), epoch: w.Epoch, sequence: w.Sequence},
		from: w.From, baseEpoch: w.BaseEpoch, baseSeq: w.BaseSeq, exact: w.Exact,
	}
	for _, id := range w.Gone {
		dl.gone = append(dl.gone, types.TargetID(id))
	}
	slices.Sort(dl.gone)
	var err error
	dl.records, err = unpackRecords(dl.to.dc, w.Services, w.Records)
	return dl, err
}
