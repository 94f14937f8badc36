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

// Learn merges entries of another daemon. Entries that have expired change
// nothing.
func (t *Table) Learn(now time.Time, entries []Entry) {
	for _, e := range entries {
		told := &record{expiry: t.opts.Expiry}
		for _, d := range e.Deaths {
			told.add(death{id: d.ID, at: now.Add(-max(0, d.Age)), cleared: d.Cleared})
		}
		if told.isExpired(now) {
			continue
		}
		r := t.record(now, e.Fingerprint)
		for _, d := range told.deaths {
			r.add(d)
		}
		// A message may hold any number of entries.
		if len(t.records) >= 2*t.opts.Capacity {
			t.trim(now)
		}
	}
	t.trim(now)
}

// record returns the record to which a death is added; an expired one starts
// anew.
func (t *Table) record(now time.Time, fp types.Fingerprint) *record {
	r := t.find(now, fp)
	if r == nil {
		r = &record{fingerprint: fp, expiry: t.opts.Expiry}
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
			t.dropLast(now)
		}
		return
	}
	list := slices.SortedFunc(maps.Values(t.records), compareWorth(now))
	for _, r := range list[n:] {
		delete(t.records, r.fingerprint)
	}
}

// dropLast removes the least important record.
func (t *Table) dropLast(now time.Time) {
	var last *record
	compare := compareWorth(now)
	for _, r := range t.records {
		if last == nil || compare(r, last) > 0 {
			last = r
		}
	}
	delete(t.records, last.fingerprint)
}
