package poison

import (
	"maps"
	"slices"
	"time"

	"trefoilthread/core/types"
)

// maxScans is the number of records up to which finding the least important
// one again and again is faster than sorting a full table.
const maxScans = 8

// Learn merges entries of another daemon. Entries that are older than the
// expiry change nothing.
func (t *Table) Learn(now time.Time, entries []Entry) {
	for _, e := range entries {
		if !t.isCurrent(e) {
			continue
		}
		r := t.record(now, e.Fingerprint)
		for _, d := range e.Deaths {
			r.add(death{id: d.ID, at: now.Add(-max(0, d.Age)), cleared: d.Cleared})
		}
		// A message may hold any number of entries.
		if len(t.records) >= 2*t.opts.Capacity {
			t.trim(now)
		}
	}
	t.trim(now)
}

func (t *Table) isCurrent(e Entry) bool {
	for _, d := range e.Deaths {
		if d.Age < t.opts.Expiry {
			return true
		}
	}
	return false
}

// record returns the record to which a death is added; an expired one starts
// anew.
func (t *Table) record(now time.Time, fp types.Fingerprint) *record {
	r := t.find(now, fp)
	if r == nil {
		r = &record{fingerprint: fp}
		t.records[fp] = r
	}
	return r
}

// trim removes expired records, and the least important ones beyond
// the capacity.
func (t *Table) trim(now time.Time) {
	n := t.opts.Capacity
	if len(t.records) <= n {
		return
	}
	maps.DeleteFunc(t.records, func(fp types.Fingerprint, _ *record) bool {
		return t.find(now, fp) == nil
	})
	if len(t.records) <= n {
		return
	}
	if len(t.records) <= n+maxScans {
		for len(t.records) > n {
			t.dropLast()
		}
		return
	}
	list := slices.SortedFunc(maps.Values(t.records), compareWorth)
	for _, r := range list[n:] {
		delete(t.records, r.fingerprint)
	}
}

// dropLast removes the least important record.
func (t *Table) dropLast() {
	var last *record
	for _, r := range t.records {
		if last == nil || compareWorth(r, last) > 0 {
			last = r
		}
	}
	delete(t.records, last.fingerprint)
}
