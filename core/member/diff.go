package member

import (
	"slices"

	"trefoilthread/core/types"
)

// DeltaFrom returns the change from old to s, two summaries of the same data
// centre. Unlike a delta of Table.Delta it applies to old only, because the
// changes between the two are not known: a target may have gone and come back.
func (s Summary) DeltaFrom(old Summary) Delta {
	d := Delta{
		to:    Summary{dc: s.dc, epoch: s.epoch, sequence: s.sequence},
		exact: true, baseEpoch: old.epoch, baseSeq: old.sequence,
	}
	i := 0
	for _, r := range s.records {
		for i < len(old.records) && compareRecords(old.records[i], r) < 0 {
			d.gone = append(d.gone, old.records[i].target.ID())
			i++
		}
		if i < len(old.records) && compareRecords(old.records[i], r) == 0 {
			if old.records[i] != r {
				d.records = append(d.records, r)
			}
			i++
			continue
		}
		d.records = append(d.records, r)
	}
	d.gone = append(d.gone, targetIDs(old.records[i:])...)
	return d
}

func targetIDs(records []record) []types.TargetID {
	out := make([]types.TargetID, len(records))
	for i, r := range records {
		out[i] = r.target.ID()
	}
	return slices.Clip(out)
}
