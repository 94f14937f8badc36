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
	// storeCallTime bounds a call to the store.
	storeCallTime = 800 * time.Millisecond
	// storePause is the mean pause after a failed call, maxStorePause that after
	// several in a row: records have to be back about two seconds after the
	// store's return.
	storePause    = 400 * time.Millisecond
	maxStorePause = 1200 * time.Millisecond
)

// registerOptions configure a register. All fields are required.
type registerOptions struct {
	store store.Store
	clock clockwork.Clock
	log   log.Interface
	key   string
	// value returns the record as it should be.
	value func() storedRecord
	// minLease is the shortest lease that the store grants.
	minLease time.Duration
	// size returns the number of agents.
	size func() int
	// seen is told of an earlier record of this agent, once, and of none.
	seen func(rec *storedRecord)
}

// register keeps this agent's record in the store under a lease.
type register struct {
	registerOptions

	dirty   chan struct{} // holds one token when the record is to be written
	stopped chan struct{} // closed when run has returned

	mu        sync.Mutex
	written   storedRecord
	writtenAt int64         // revision of the latest write
	ok        bool          // written is what the store has
	done      chan struct{} // closed at the next successful write

	former  store.LeaseID // of an earlier start's record, 0 for none
	lease   store.LeaseID
	renewed time.Time
	ttl     time.Duration
	rev     int64
	known   bool // rev is what the store has, as far as is known
	failing int  // calls that failed in a row
}

// note logs when calls to the store begin to fail and when they succeed again,
// not each of them.
func (r *register) note(err error) {
	switch {
	case err != nil && r.failing == 0:
		r.log.WithError(err).WithField("key", r.key).Warn("store lost for the own record")
	case err == nil && r.failing > 0:
		r.log.WithField("key", r.key).Info("store regained for the own record")
	}
	if err == nil {
		r.failing = 0
		return
	}
	r.failing++
}

// backoff returns the mean pause after the calls that have failed.
func (r *register) backoff() time.Duration {
	return min(storePause*time.Duration(max(r.failing, 1)), maxStorePause)
}

func newRegister(o registerOptions) *register {
	return &register{
		registerOptions: o, dirty: make(chan struct{}, 1),
		stopped: make(chan struct{}), done: make(chan struct{}),
	}
}

// touch asks for the record to be written again.
func (r *register) touch() {
	select {
	case r.dirty <- struct{}{}:
	default: // asked for already
	}
}

// lost notes that the store doesn't have the record as of a revision. What is
// known of a time before the latest write is no news.
func (r *register) lost(rev int64) {
	r.mu.Lock()
	isNews := r.ok && rev >= r.writtenAt
	if isNews {
		r.ok = false
	}
	r.mu.Unlock()
	if isNews {
		r.touch()
	}
}

// settled waits until the store has the record as it is now, or ctx ends.
func (r *register) settled(ctx context.Context) bool {
	for {
		r.mu.Lock()
		same, done := r.ok && r.written == r.value(), r.done
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

// run keeps the record until ctx ends.
func (r *register) run(ctx context.Context) {
	defer close(r.stopped)
	first := true
	for ctx.Err() == nil {
		if first && !r.readOwn(ctx) {
			sleep(ctx, r.clock, around(r.backoff()))
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
		r.note(err)
		if err != nil {
			sleep(ctx, r.clock, around(r.backoff()))
			continue
		}
		r.hold(ctx)
	}
}

// readOwn reads the record of an earlier start.
func (r *register) readOwn(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeCallTime)
	defer cancel()
	it, err := r.store.Get(ctx, r.key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		r.rev, r.known = 0, true
		r.seen(nil)
		return true
	case err != nil:
		r.note(err)
		return false
	}
	r.rev, r.known, r.former = it.Revision, true, it.Lease
	_, rec, err := decodeRecord(it.Key, it.Value, it.Revision)
	if err != nil {
		r.log.WithError(err).Warn("own record of an earlier start not understood, taken as none")
		r.seen(nil)
		return true
	}
	r.seen(&rec)
	return true
}

// write makes the store's record the one that it should be.
func (r *register) write(ctx context.Context) error {
	if err := r.grant(ctx); err != nil {
		return err
	}
	for {
		rec := r.value()
		r.mu.Lock()
		same := r.ok && r.written == rec
		r.mu.Unlock()
		if same {
			return nil
		}
		if err := r.put(ctx, rec); err != nil {
			return err
		}
	}
}

// put writes rec. A write of unknown outcome is read back, and a late one
// fails by its revision.
func (r *register) put(ctx context.Context, rec storedRecord) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTime)
	defer cancel()
	value, err := cbor.Marshal(rec)
	if err != nil {
		return errors.Wrap(err, "encode record")
	}
	if !r.known {
		it, err := r.store.Get(ctx, r.key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		r.rev, r.known = it.Revision, true
	}
	rev, err := r.store.CompareAndSwap(ctx, r.key, r.rev, value, r.lease)
	switch {
	case errors.Is(err, store.ErrLeaseGone):
		r.lease = 0
		return err
	case err != nil:
		r.known = false
		return err
	}
	r.rev = rev
	r.mu.Lock()
	r.written, r.writtenAt, r.ok = rec, rev, true
	close(r.done)
	r.done = make(chan struct{})
	r.mu.Unlock()
	r.log.WithFields(log.Fields{
		"key": r.key, "revision": rev, "target": rec.Target, "state": rec.State, "lease": int64(r.lease),
	}).Info("record written")
	return nil
}
