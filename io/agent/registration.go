package agent

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"

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
	// minLease is the shortest lease that the store grants.
	minLease time.Duration
	// agentCount returns the number of known agents, this one included.
	agentCount func() int
	// onPrevious is called once with the record of an earlier start, nil if there is
	// none.
	onPrevious func(rec *storedRecord)
}

// registration keeps this agent's record in the store under a lease.
type registration struct {
	registrationOptions

	dirty   chan struct{} // holds one token if the record has to be written
	stopped chan struct{} // closed when run has returned

	mu        sync.Mutex
	written   storedRecord
	writtenAt int64         // revision of the latest write
	isCurrent bool          // the store has written
	writeDone chan struct{} // closed at the next successful write

	previousLease store.LeaseID // of an earlier start's record, 0 for none
	lease         store.LeaseID
	renewed       time.Time
	ttl           time.Duration
	rev           int64
	isRevKnown    bool // rev is the last known revision in the store
	failures      int  // calls that failed in a row
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
	return &registration{
		registrationOptions: o, dirty: make(chan struct{}, 1),
		stopped: make(chan struct{}), writeDone: make(chan struct{}),
	}
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
		r.isCurrent = false
	}
	r.mu.Unlock()
	if isNews {
		r.requestWrite()
	}
}

// awaitWrite waits until the store has the present record. It returns false if ctx ends
// first.
func (r *registration) awaitWrite(ctx context.Context) bool {
	for {
		r.mu.Lock()
		same, done := r.isCurrent && r.written == r.value(), r.writeDone
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

// run keeps the record in the store until ctx ends.
func (r *registration) run(ctx context.Context) {
	defer close(r.stopped)
	first := true
	for ctx.Err() == nil {
		if first && !r.readOwn(ctx) {
			sleep(ctx, r.clock, jitterAround(r.backoff()))
			continue
		}
		first = false
		if r.value().Target == "" {
			// Nobody needs a record that names no target, and each one wakes
			// the watches of all agents.
			select {
			case <-ctx.Done():
			case <-r.dirty:
			}
			continue
		}
		err := r.write(ctx)
		r.recordStoreResult(err)
		if err != nil {
			sleep(ctx, r.clock, jitterAround(r.backoff()))
			continue
		}
		r.keepLease(ctx)
	}
}

// readOwn reads the record of an earlier start. It returns false if the store is
// unavailable.
func (r *registration) readOwn(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	it, err := r.store.Get(ctx, r.key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		r.rev, r.isRevKnown = 0, true
		r.onPrevious(nil)
		return true
	case err != nil:
		r.recordStoreResult(err)
		return false
	}
	r.rev, r.isRevKnown, r.previousLease = it.Revision, true, it.Lease
	_, rec, err := decodeRecord(it.Key, it.Value, it.Revision)
	if err != nil {
		r.log.WithError(err).Warn("own record of an earlier start is invalid, ignored")
		r.onPrevious(nil)
		return true
	}
	r.onPrevious(&rec)
	return true
}

// write writes the record until the store has the present value.
func (r *registration) write(ctx context.Context) error {
	if err := r.ensureLease(ctx); err != nil {
		return err
	}
	for {
		rec := r.value()
		r.mu.Lock()
		same := r.isCurrent && r.written == rec
		r.mu.Unlock()
		if same {
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
	value, err := cbor.Marshal(rec)
	if err != nil {
		return errors.Wrap(err, "encode record")
	}
	if !r.isRevKnown {
		it, err := r.store.Get(ctx, r.key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		r.rev, r.isRevKnown = it.Revision, true
	}
	rev, err := r.store.CompareAndSwap(ctx, r.key, r.rev, value, r.lease)
	switch {
	case errors.Is(err, store.ErrLeaseGone):
		r.lease = 0
		return err
	case err != nil:
		r.isRevKnown = false
		return err
	}
	r.rev = rev
	r.mu.Lock()
	r.written, r.writtenAt, r.isCurrent = rec, rev, true
	close(r.writeDone)
	r.writeDone = make(chan struct{})
	r.mu.Unlock()
	r.log.WithFields(log.Fields{
		"key": r.key, "revision": rev, "target": rec.Target, "state": rec.State, "lease": int64(r.lease),
	}).Info("record written")
	return nil
}
