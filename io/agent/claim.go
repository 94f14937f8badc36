package agent

import (
	"context"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/relay"
	"trefoilthread/io/store"
)

// noteListed records what a listing says of this agent's record before run has begun. The
// listing may be stale.
func (r *registration) noteListed(it relay.Item) {
	own := &ownRecord{}
	if !it.Deleted {
		own.rev, own.rec = it.Revision, r.decodeOwn(it.Value, it.Revision)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = own
}

// noteUnlisted records that a listing has no record of this agent, unless one was listed
// before.
func (r *registration) noteUnlisted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listed == nil {
		r.listed = &ownRecord{}
	}
}

// listedRecord returns the record of this agent in the latest listing, nil if there is
// none.
func (r *registration) listedRecord() *storedRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listed == nil {
		return nil
	}
	return r.listed.rec
}

// decodeOwn decodes a record of this agent. It returns nil for an invalid one, which is
// logged.
func (r *registration) decodeOwn(value []byte, rev int64) *storedRecord {
	_, rec, err := decodeRecord(r.key, value, rev)
	if err != nil {
		r.log.WithError(err).Warn("own record of an earlier start is invalid, ignored")
		return nil
	}
	return &rec
}

// claim writes the first record of this start and returns the one of an earlier start,
// nil if there is none. It costs one write if the earlier record is still as it was
// listed; else the record is read, and rec isn't written. follows reports whether rec may
// replace an earlier record. The error says that the store is unavailable.
func (r *registration) claim(ctx context.Context, rec storedRecord, follows func(previous *storedRecord) bool) (*storedRecord, error) {
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
func (r *registration) read(ctx context.Context) (*storedRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	it, err := r.store.Get(ctx, r.key)
	if errors.Is(err, store.ErrNotFound) {
		r.rev, r.isRevKnown = 0, true
		return nil, nil
	}
	if err != nil {
		r.recordStoreResult(err)
		return nil, err
	}
	r.rev, r.isRevKnown = it.Revision, true
	return r.decodeOwn(it.Value, it.Revision), nil
}
