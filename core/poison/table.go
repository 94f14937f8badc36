package poison

import (
	"maps"
	"slices"
	"time"

	"trefoilthread/core/types"
)

// Table is one daemon's knowledge of requests that crash targets.
type Table struct {
	opts    Options
	records map[types.Fingerprint]*record
	flight  flight
	deaths  uint64
}

// New returns an empty table.
func New(o Options) *Table {
	o = o.withDefaults()
	return &Table{
		opts: o, records: map[types.Fingerprint]*record{}, flight: newFlight(o.Grace, o.Capacity),
	}
}

// Check returns how a request may run.
func (t *Table) Check(now time.Time, fp types.Fingerprint) Status {
	if r := t.find(now, fp); r != nil {
		return r.status(now)
	}
	return Clear
}

// Refuse records that a request that is Quarantined is refused, and returns after what time
// it may run again if it doesn't come before. It returns false for any other request.
func (t *Table) Refuse(now time.Time, fp types.Fingerprint) (time.Duration, bool) {
	r := t.find(now, fp)
	if r == nil || r.status(now) != Quarantined {
		return 0, false
	}
	r.refused = now
	return r.release().Sub(now), true
}

// Released reports whether a request is Suspect because its quarantine has
// ended. It has crashed two targets, so it is not sent again after a trial
// that broke off.
func (t *Table) Released(now time.Time, fp types.Fingerprint) bool {
	r := t.find(now, fp)
	return r != nil && r.isReleased(now)
}

// Begin records that a request that is Clear starts at the local target.
func (t *Table) Begin(_ time.Time, fp types.Fingerprint) { t.flight.begin(fp) }

// AdmitTrial reports whether a suspect may start at the local target now, and
// if so records its start in place of Begin. It may not while any suspect is in
// flight, the same one included, or a run has just broken off.
func (t *Table) AdmitTrial(now time.Time, fp types.Fingerprint) bool {
	if t.Check(now, fp) != Suspect || t.flight.broken(now) {
		return false
	}
	for other := range t.flight.all(now) {
		if t.Check(now, other) != Clear {
			return false
		}
	}
	t.flight.begin(fp)
	t.flight.trial, t.flight.onTrial = fp, true
	return true
}

// End records that a run ended: ok if its response was complete, not ok if it
// broke off. It reports whether a trial has cleared the request or ended its
// release, which is then to be sent to the other daemons. The daemon ends all
// runs of a target that died before the target takes new ones.
func (t *Table) End(now time.Time, fp types.Fingerprint, ok bool) bool {
	trial := t.flight.end(now, fp, !ok)
	if !ok {
		t.flight.lastBreak = now
		return trial && t.endRelease(now, fp)
	}
	return trial && t.Clear(now, fp)
}

// endRelease quarantines a released request whose trial broke off, without
// waiting for the daemon to notice a death: meanwhile the request would be on
// trial at other targets.
func (t *Table) endRelease(now time.Time, fp types.Fingerprint) bool {
	if !t.Released(now, fp) {
		return false
	}
	t.flight.forget(fp)
	t.record(now, fp).add(t.newDeath(now))
	return true
}

func (t *Table) newDeath(now time.Time) death {
	t.deaths++
	return death{
		id: DeathID{Target: t.opts.Target, Incarnation: t.opts.Incarnation, Number: t.deaths},
		at: now,
	}
}

// Cancel records that the daemon itself gave up a run. The target may still be
// working on it, but the end says nothing about the target.
func (t *Table) Cancel(now time.Time, fp types.Fingerprint) { t.flight.end(now, fp, true) }

// Decline records that the target didn't run the request, or that the request didn't reach
// it. The end says nothing about either.
func (t *Table) Decline(now time.Time, fp types.Fingerprint) { t.flight.end(now, fp, false) }

// TargetDied records the death of the local target. It returns the requests
// that were in flight, in ascending order, which are to be sent to the other
// daemons (Entries).
func (t *Table) TargetDied(now time.Time) []types.Fingerprint {
	d := t.newDeath(now)
	suspects := t.flight.takeAll(now)
	for _, fp := range suspects {
		t.record(now, fp).add(d)
	}
	t.trim(now)
	return suspects
}

// Clear removes the suspicion from a request after a successful trial. A
// quarantined request stays so: its second death came after the trial began.
func (t *Table) Clear(now time.Time, fp types.Fingerprint) bool {
	r := t.records[fp]
	if r == nil || r.status(now) != Suspect {
		return false
	}
	r.clear()
	return true
}

// Lift ends suspicion or quarantine at an operator's request. It reports
// whether there was any. The entry is then to be sent to the other daemons.
func (t *Table) Lift(fp types.Fingerprint) bool {
	r := t.records[fp]
	if r == nil || r.charged.deaths == 0 {
		return false
	}
	r.clear()
	return true
}

// List returns the suspect and quarantined requests, quarantined first, then
// by latest death.
func (t *Table) List(now time.Time) []Entry {
	var list []*record
	for fp := range t.records {
		if r := t.find(now, fp); r != nil && r.status(now) != Clear {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, compareWorth(now))
	var entries []Entry
	for _, r := range list {
		entries = append(entries, r.entry(now))
	}
	return entries
}

// Entries returns what is known about the given requests, cleared ones
// included; nil stands for all requests.
func (t *Table) Entries(now time.Time, fps []types.Fingerprint) []Entry {
	if fps == nil {
		fps = slices.Sorted(maps.Keys(t.records))
	}
	var entries []Entry
	for _, fp := range fps {
		if r := t.find(now, fp); r != nil {
			entries = append(entries, r.entry(now))
		}
	}
	return entries
}

// find returns the record of a request unless it has expired.
func (t *Table) find(now time.Time, fp types.Fingerprint) *record {
	r := t.records[fp]
	if r == nil || r.isExpired(now) {
		return nil
	}
	return r
}
