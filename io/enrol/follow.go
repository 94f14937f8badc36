package enrol

import "trefoilthread/core/relay"

// Learn applies a change of this agent's record in the store. It returns the record that the
// store has; ok is false if there is none, or an invalid one, which counts as none at the
// other agents. The record's time since when the store has it isn't taken over here, as the
// first listing may be stale: only Claim and Read do so.
func (r *Registration) Learn(it relay.Item) (rec Record, ok bool) {
	if !it.Deleted {
		stored, err := Decode(it.Key, it.Value)
		rec, ok = stored, err == nil
	}
	if !ok {
		r.resetSince()
	}
	switch {
	case !r.isKnown.Load():
		r.noteListed(it)
	case it.Deleted:
		r.markMissing(it.Revision)
	default:
		r.noteStored(rec, ok, it.Revision)
	}
	return rec, ok
}

// LearnMissing has the record written again because the store did not have it in a listing as
// of revision rev.
func (r *Registration) LearnMissing(rev int64) {
	r.noteUnlisted()
	r.markMissing(rev)
}

// noteListed records what a listing says of this agent's record before the record of an
// earlier start is known. The listing may be stale.
func (r *Registration) noteListed(it relay.Item) {
	own := &ownRecord{}
	if !it.Deleted {
		own.rev, own.rec = it.Revision, r.decodeOwn(it.Value)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = own
}

// noteUnlisted records that a listing has no record of this agent, unless one was listed
// before.
func (r *Registration) noteUnlisted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listed == nil {
		r.listed = &ownRecord{}
	}
}

// markMissing requests a write because the store did not have the record as of revision
// rev. A revision before the latest write is ignored.
func (r *Registration) markMissing(rev int64) {
	r.mu.Lock()
	isNews := r.isCurrent && rev >= r.writtenAt
	if isNews {
		r.isCurrent, r.isDeleted = false, true
	}
	r.mu.Unlock()
	if isNews {
		r.RequestWrite()
	}
}

// noteStored requests a write if the store has an earlier state of the record of this start,
// as after it was restored from an older copy, or an invalid one. Records of other starts are left
// alone, so that two agents with one name don't replace each other's without end.
func (r *Registration) noteStored(rec Record, isValid bool, rev int64) {
	r.mu.Lock()
	isWrong := !isValid || rec.Boot == r.written.Boot && rec != r.written
	isWrong = isWrong && r.isCurrent && rev > r.writtenAt
	r.isCurrent = r.isCurrent && !isWrong
	r.mu.Unlock()
	if isWrong {
		r.RequestWrite()
	}
}

// keepSince takes over the time since when the store has a record from that of an earlier start,
// if it is earlier.
func (r *Registration) keepSince(previous Record) {
	if own := r.since.Load(); previous.Since > 0 && previous.Since < own {
		r.since.Store(previous.Since)
	}
}

// resetSince restarts the time since when the store has a record of this agent, because it had no
// valid one until now.
func (r *Registration) resetSince() int64 {
	now := r.opts.Clock.Now().UnixMilli()
	r.since.Store(now)
	return now
}
