package member

import (
	"slices"
	"time"

	"trefoilthread/core/types"
)

// Directory is a daemon's view of the targets of all data centres. It is not
// safe for concurrent use.
type Directory struct {
	dataCentres  map[types.DataCentre]*dataCentreView
	names        []types.DataCentre // of dataCentres, sorted
	observations map[types.TargetID]observation
}

// dataCentreView is the last summary of one data centre. For each service it has
// the indices of the records.
type dataCentreView struct {
	summary  Summary
	services map[types.ServiceName][]int32
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{dataCentres: map[types.DataCentre]*dataCentreView{}, observations: map[types.TargetID]observation{}}
}

// MergeSummary replaces the known summary of a data centre if s is newer, and reports
// whether it was.
func (d *Directory) MergeSummary(s Summary) bool {
	c := d.dataCentres[s.dc]
	if c != nil && !s.Newer(c.summary) {
		return false
	}
	d.replace(s)
	return true
}

// replace makes s the known summary of its data centre, and removes the
// observations that no longer apply.
func (d *Directory) replace(s Summary) {
	if d.dataCentres[s.dc] == nil {
		d.names = append(d.names, s.dc)
		slices.Sort(d.names)
	}
	next := &dataCentreView{summary: s, services: map[types.ServiceName][]int32{}}
	for i, r := range s.records {
		next.services[r.target.Service()] = append(next.services[r.target.Service()], int32(i))
	}
	d.dataCentres[s.dc] = next
	for id, obs := range d.observations {
		if t, ok := d.record(id); !ok || !obs.appliesTo(t) {
			delete(d.observations, id)
		}
	}
}

// Summary returns the last summary of a data centre; the zero value if none.
func (d *Directory) Summary(dc types.DataCentre) Summary {
	if c := d.dataCentres[dc]; c != nil {
		return c.summary
	}
	return Summary{}
}

// DataCentres returns the names of the known data centres, sorted.
func (d *Directory) DataCentres() []types.DataCentre { return slices.Clone(d.names) }

// Len returns the number of known targets.
func (d *Directory) Len() int {
	n := 0
	for _, c := range d.dataCentres {
		n += len(c.summary.records)
	}
	return n
}

// Targets returns the targets of a service in all data centres, including those
// that take no calls, sorted by data centre and name. Their states are corrected
// by Observe.
func (d *Directory) Targets(now time.Time, service types.ServiceName) []types.Target {
	n := 0
	for _, dc := range d.names {
		n += len(d.dataCentres[dc].services[service])
	}
	out := make([]types.Target, 0, n)
	for _, dc := range d.names {
		c := d.dataCentres[dc]
		for _, i := range c.services[service] {
			out = append(out, d.effective(now, c.summary.records[i].target))
		}
	}
	return out
}

// Target returns a target with its state corrected by Observe, and false if it is
// not known.
func (d *Directory) Target(now time.Time, id types.TargetID) (types.Target, bool) {
	t, ok := d.record(id)
	if !ok {
		return t, false
	}
	return d.effective(now, t), true
}

// record returns the newest record of a target. A target that has moved may be in
// the summaries of two data centres for a while.
func (d *Directory) record(id types.TargetID) (types.Target, bool) {
	var best types.Target
	found := false
	for _, dc := range d.names {
		recs := d.dataCentres[dc].summary.records
		i, ok := slices.BinarySearchFunc(recs, id, func(r record, id types.TargetID) int {
			return compareRecords(r, record{target: types.NewTarget(types.TargetSpec{ID: id})})
		})
		if ok && (!found || recs[i].target.Newer(best)) {
			best, found = recs[i].target, true
		}
	}
	return best, found
}

// effective returns t as corrected by an observation.
func (d *Directory) effective(now time.Time, t types.Target) types.Target {
	if obs, ok := d.observations[t.ID()]; ok && obs.appliesTo(t) {
		return obs.correct(now, t)
	}
	return t
}
