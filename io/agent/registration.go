package agent

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"

	"trefoilthread/core/relay"
	"trefoilthread/core/types"
	"trefoilthread/io/store"
)

const (
	// storeCallTimeout bounds a call to the store.
	storeCallTimeout = 800 * time.Millisecond
	// storeRetryDelay is the mean delay after a failed call. It grows with each further
	// failure in a row up to maxStoreRetryDelay, since the records have to be back about
	// two seconds after the store is.
	storeRetryDelay    = 400 * time.Millisecond
	maxStoreRetryDelay = 1200 * time.Millisecond
)

// registrationOptions configure a registration. All fields are required.
type registrationOptions struct {
	store store.Store
	clock clockwork.Clock
	log   log.Interface
	key   string
	// value returns the record that the store should have.
	value func() storedRecord
	// onCreate is called before a record is written that the store doesn't have. It returns
	// the time since when the store has it.
	onCreate func() (since int64)
}

// registration keeps this agent's record in the store. The record has no lease: it would
// have to be renewed, and written again by all agents after an outage in which leases
// expire. Records of agents that are gone are deleted by others, see cleaner.
type registration struct {
	registrationOptions

	begin   func()        // closes begun
	begun   chan struct{} // closed when the record of an earlier start is known
	dirty   chan struct{} // holds one token if the record has to be written
	stopped chan struct{} // closed when run has returned

	mu        sync.Mutex
	listed    *ownRecord // record of this agent in a listing before begun, nil before any listing
	written   storedRecord
	writtenAt int64         // revision of the latest write
	isCurrent bool          // the store has written
	isDeleted bool          // another agent, or the store, deleted the record after the latest write
	writeDone chan struct{} // closed at the next successful write

	// The fields below belong to claim and read until begun is closed, then to run.
	rev        int64
	isRevKnown bool // rev is the last known revision in the store
	failures   int  // calls that failed in a row
}

// ownRecord is the record of this agent as it was at a revision.
type ownRecord struct {
	rev int64         // 0 if there was none
	rec *storedRecord // nil if there was none, or an invalid one
}

// recordStoreResult counts failures in a row. It logs only when calls begin to fail and
// when they succeed again.
func (r *registration) recordStoreResult(err error) {
	switch {
	case err != nil && r.failures == 0:
		r.log.WithError(err).WithField("key", r.key).Warn("store lost for the own record")
	case err == nil && r.failures > 0:
		r.log.WithField("key", r.key).Info("store regained for the own record")
	}
	if err == nil {
		r.failures = 0
		return
	}
	r.failures++
}

// backoff returns the mean delay before the next attempt.
func (r *registration) backoff() time.Duration {
	return min(storeRetryDelay*time.Duration(max(r.failures, 1)), maxStoreRetryDelay)
}

func newRegistration(o registrationOptions) *registration {
	r := &registration{
		registrationOptions: o, begun: make(chan struct{}), dirty: make(chan struct{}, 1),
		stopped: make(chan struct{}), writeDone: make(chan struct{}),
	}
	r.begin = sync.OnceFunc(func() { close(r.begun) })
	return r
}

// requestWrite requests that the record is written again.
func (r *registration) requestWrite() {
	select {
	case r.dirty <- struct{}{}:
	default: // already requested
	}
}

// markMissing requests a write because the store did not have the record as of revision
// rev. A revision before the latest write is ignored.
func (r *registration) markMissing(rev int64) {
	r.mu.Lock()
	isNews := r.isCurrent && rev >= r.writtenAt
	if isNews {
		r.isCurrent, r.isDeleted = false, true
	}
	r.mu.Unlock()
	if isNews {
		r.requestWrite()
	}
}

// noteStored requests a write if the store has an earlier state of the record of this start,
// as after it was restored from an older copy. Records of other starts are left alone, so
// that two agents with one name don't replace each other's without end.
func (r *registration) noteStored(it relay.Item) {
	_, rec, err := decodeRecord(it.Key, it.Value, it.Revision)
	if err != nil {
		return
	}
	r.mu.Lock()
	isOld := r.isCurrent && it.Revision > r.writtenAt && rec.Boot == r.written.Boot && rec != r.written
	r.isCurrent = r.isCurrent && !isOld
	r.mu.Unlock()
	if isOld {
		r.requestWrite()
	}
}

// awaitWrite waits until the store has the present record. It returns false if ctx ends
// first.
func (r *registration) awaitWrite(ctx context.Context) bool {
	for {
		r.mu.Lock()
		same, done := r.isCurrent && r.written.covers(r.value()), r.writeDone
		r.mu.Unlock()
		if same {
			return true
		}
		select {
		case <-done:
		case <-ctx.Done():
			return false
		}
	}
}

// run keeps the record in the store from begin until ctx ends.
func (r *registration) run(ctx context.Context) {
	defer close(r.stopped)
	select {
	case <-r.begun:
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil {
		err := r.write(ctx)
		r.recordStoreResult(err)
		if err != nil {
			sleep(ctx, r.clock, jitterAround(r.backoff()))
			continue
		}
		select {
		case <-ctx.Done():
		case <-r.dirty:
		}
	}
}

// write writes the record until the store has the present value. A record that names no
// target isn't written: nobody needs it, and each one wakes the watches of all agents.
func (r *registration) write(ctx context.Context) error {
	for {
		rec := r.value()
		r.mu.Lock()
		same := r.isCurrent && r.written.covers(rec)
		if r.isDeleted {
			r.rev, r.isRevKnown, r.isDeleted = 0, true, false
		}
		r.mu.Unlock()
		if same || rec.Target == "" {
			return nil
		}
		if err := r.put(ctx, rec); err != nil {
			return err
		}
	}
}

// put writes rec by compare-and-swap. After a write of unknown outcome the next put
// reads the revision first, and the revision makes a delayed write fail.
func (r *registration) put(ctx context.Context, rec storedRecord) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	if !r.isRevKnown {
		it, err := r.store.Get(ctx, r.key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		r.rev, r.isRevKnown = it.Revision, true
	}
	if r.rev == 0 {
		rec.Since = r.onCreate()
	}
	value, err := cbor.Marshal(rec)
	if err != nil {
		return errors.Wrap(err, "encode record")
	}
	rev, err := r.store.CompareAndSwap(ctx, r.key, r.rev, value, 0)
	if err != nil {
		r.isRevKnown = false
		return err
	}
	r.rev = rev
	r.mu.Lock()
	r.written, r.writtenAt, r.isCurrent, r.isDeleted = rec, rev, true, false
	close(r.writeDone)
	r.writeDone = make(chan struct{})
	r.mu.Unlock()
	r.log.WithFields(log.Fields{
		"key": r.key, "revision": rev, "target": rec.Target, "state": rec.State,
	}).Info("record written")
	return nil
}

// withdraw deletes the record if its target has left. Otherwise the record stays for the
// next start of this agent. withdraw waits until run has returned, so the context of run
// must have ended.
func (r *registration) withdraw(ctx context.Context) error {
	<-r.stopped
	r.mu.Lock()
	isStored := r.isCurrent
	r.mu.Unlock()
	if !isStored || types.TargetState(r.value().State) != types.Down {
		return nil
	}
	return r.store.Delete(ctx, r.key, r.rev)
}
