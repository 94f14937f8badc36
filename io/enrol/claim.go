package enrol

import (
	"context"

	"github.com/cockroachdb/errors"

	"trefoilthread/io/store"
)

// Claim makes the record of an earlier start known by writing the first record of this start,
// which costs one call to the store if the earlier record is still as it was listed. It does
// nothing if the record of an earlier start is known. follows reports whether rec may replace
// an earlier record, nil if there was none. Claim returns false if the store is unavailable. True
// means that the earlier record is known, not that rec was written. Claim doesn't call Begin.
func (r *Registration) Claim(ctx context.Context, rec Record, follows func(previous *Record) bool) bool {
	return r.learnPrevious(func() (*Record, error) { return r.replace(ctx, rec, follows) })
}

// Read reads the record of an earlier start of this agent if it isn't known yet, and lets Run
// begin. It returns false if the store is unavailable.
func (r *Registration) Read(ctx context.Context) bool {
	isKnown := r.learnPrevious(func() (*Record, error) { return r.read(ctx) })
	if isKnown {
		r.Begin()
	}
	return isKnown
}

// IsKnown reports whether the record of an earlier start is known, or that there is none.
func (r *Registration) IsKnown() bool { return r.isKnown.Load() }

// learnPrevious passes the record of an earlier start that source returns to OnPrevious, unless
// it is known already. It returns false if source fails.
func (r *Registration) learnPrevious(source func() (*Record, error)) bool {
	r.learning.Lock()
	defer r.learning.Unlock()
	if r.isKnown.Load() {
		return true
	}
	previous, err := source()
	if err != nil {
		return false
	}
	r.isKnown.Store(true)
	if previous != nil {
		r.keepSince(*previous)
		r.opts.OnPrevious(*previous)
	}
	return true
}

// Listed returns the record of this agent in the latest listing, nil if there is
// none.
func (r *Registration) Listed() *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listed == nil {
		return nil
	}
	return r.listed.rec
}

// decodeOwn decodes a record of this agent. It returns nil for an invalid one, which is
// logged.
func (r *Registration) decodeOwn(value []byte) *Record {
	rec, err := Decode(r.key, value)
	if err != nil {
		r.opts.Log.WithError(err).Warn("own record of an earlier start is invalid, ignored")
		return nil
	}
	return &rec
}

// replace writes the first record of this start and returns the one of an earlier start,
// nil if there is none. It costs one write if the earlier record is still as it was
// listed; else the record is read, and rec isn't written. follows reports whether rec may
// replace an earlier record. The error says that the store is unavailable.
func (r *Registration) replace(ctx context.Context, rec Record, follows func(previous *Record) bool) (*Record, error) {
	rec.Since = r.since.Load()
	r.mu.Lock()
	listed := r.listed
	r.mu.Unlock()
	if listed == nil || !follows(listed.rec) {
		return r.read(ctx)
	}
	r.rev, r.isRevKnown = listed.rev, true
	if listed.rec != nil && listed.rec.Since > 0 {
		rec.Since = min(rec.Since, listed.rec.Since) // else it would be written again
	}
	err := r.put(ctx, rec)
	switch {
	case err == nil:
		return listed.rec, nil
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrUnknown):
		return r.read(ctx)
	}
	r.recordStoreResult(err)
	return nil, err
}

// read returns the record of an earlier start, nil if there is none. The error says that
// the store is unavailable.
func (r *Registration) read(ctx context.Context) (*Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	it, err := r.opts.Store.Get(ctx, r.key)
	if errors.Is(err, store.ErrNotFound) {
		r.rev, r.isRevKnown = 0, true
		return nil, nil
	}
	if err != nil {
		r.recordStoreResult(err)
		return nil, err
	}
	r.rev, r.isRevKnown = it.Revision, true
	return r.decodeOwn(it.Value), nil
}
