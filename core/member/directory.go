package member

import (
	"slices"
	"time"

	"trefoilthread/core/types"
)

// Directory is a daemon's view of the targets of all data centres. It is not
// safe for concurrent use.
type Directory struct {
	centres map[types.DataCentre]*centre
	names   []types.DataCentre // sorted
	seen    map[types.TargetID]sighting
}

// centre is the last summary of one data centre, with indices into its records.
type centre struct {
	summary  Summary
	services map[types.ServiceName][]int32
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{centres: map[types.DataCentre]*centre{}, seen: map[types.TargetID]sighting{}}
}

// Merge takes a summary and reports whether it was newer than the known one of
// its data centre; otherwise it is ignored.
func (d *Directory) Merge(s Summary) bool {
	c := d.centres[s.dc]
	if c != nil && !s.Newer(c.summary) {
		return false
	}
	d.replace(s)
	return true
}

// replace makes s the known summary of its data centre.
func (d *Directory) replace(s Summary) {
	if d.centres[s.dc] == nil {
		d.names = append(d.names, s.dc)
		slices.Sort(d.names)
	}
	next := &centre{summary: s, services: map[types.ServiceName][]int32{}}
	for i, r := range s.records {
		next.services[r.target.Service()] = append(next.services[r.target.Service()], int32(i))
	}
	d.centres[s.dc] = next
	for id, sg := range d.seen {
		if t, ok := d.record(id); !ok || !sg.holds(t) {
			delete(d.seen, id)
		}
	}
}

// Summary returns the last summary of a data centre; the zero value if none.
func (d *Directory) Summary(dc types.DataCentre) Summary {
	if c := d.centres[dc]; c != nil {
		return c.summary
	}
	return Summary{}
}

// DataCentres returns the names of the data centres known, sorted.
func (d *Directory) DataCentres() []types.DataCentre { return slices.Clone(d.names) }

// Len returns the number of targets known.
func (d *Directory) Len() int {
	n := 0
	for _, c := range d.centres {
		n += len(c.summary.records)
	}
	return n
}

// Targets returns the targets of a service in all data centres, also those that
// take no calls, sorted by data centre and name.
func (d *Directory) Targets(now time.Time, service types.ServiceName) []types.Target {
	n := 0
	for _, dc := range d.names {
		n += len(d.centres[dc].services[service])
	}
	out := make([]types.Target, 0, n)
	for _, dc := range d.names {
		c := d.centres[dc]
		for _, i := range c.services[service] {
			out = append(out, d.effective(now, c.summary.records[i].target))
		}
	}
	return out
}

// Target returns one target as Targets does.
func (d *Directory) Target(now time.Time, id types.TargetID) (types.Target, bool) {
	t, ok := d.record(id)
	if !ok {
		return t, false
	}
	return d.effective(now, t), true
}

// record returns the newest record of a target. A target that was moved may be
// in the summaries of two data centres for a while.
func (d *Directory) record(id types.TargetID) (types.Target, bool) {
	var best types.Target
	found := false
	for _, dc := range d.names {
		recs := d.centres[dc].summary.records
		i, ok := slices.BinarySearchFunc(recs, id, func(r record, id types.TargetID) int {
			return compareRecords(r, record{target: types.NewTarget(types.TargetSpec{ID: id})})
		})
		if ok && (!found || recs[i].target.Newer(best)) {
			best, found = recs[i].target, true
		}
	}
	return best, found
}

// effective returns t as corrected by direct contact.
func (d *Directory) effective(now time.Time, t types.Target) types.Target {
	if sg, ok := d.seen[t.ID()]; ok && sg.holds(t) {
		return sg.correct(now, t)
	}
	return t
}
