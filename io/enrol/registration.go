package enrol

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"

	"trefoilthread/core/types"
	"trefoilthread/io/store"
	"trefoilthread/io/timing"
)

const (
	// callTimeout bounds a call to the store.
	callTimeout = 800 * time.Millisecond
	// retryDelay is the mean delay after a failed call. It grows with each further
	// failure in a row up to maxRetryDelay, since the records have to be back about
	// two seconds after the store is.
	retryDelay    = 400 * time.Millisecond
	maxRetryDelay = 1200 * time.Millisecond
)

// Options configure a Registration. All fields are required.
type Options struct {
	Store store.Store
	Clock clockwork.Clock
	Log   log.Interface
	Self  string // name of this agent
	// Value returns the record that the store should have. The registration fills in Since.
	Value func() Record
	// OnPrevious is called once at most, with the record of an earlier start when it is known.
	OnPrevious func(previous Record)
}

// Registration keeps this agent's record in the store. The record has no lease: it would
// have to be renewed, and written again by all agents after an outage in which leases
// expire. Records of agents that are gone are deleted by others, see Cleaner. It is
// safe for concurrent use, but Run may be called only once.
type Registration struct {
	opts Options
	key  string

	begin   func()        // closes begun
	begun   chan struct{} // closed by Begin: Run may write
	dirty   chan struct{} // holds one token if the record has to be written
	stopped chan struct{} // closed when Run has returned

	since atomic.Int64 // since when the store has a record of the agent, in Unix milliseconds

	learning sync.Mutex  // held while the record of an earlier start becomes known
	isKnown  atomic.Bool // the record of an earlier start is known, or there is none

	mu        sync.Mutex
	listed    *ownRecord // record of this agent in the latest listing, nil before any; unused once isKnown is set
	written   Record
	writtenAt int64         // revision of the latest write
	isCurrent bool          // the store has the record in written
	isDeleted bool          // another agent, or the store, deleted the record after the latest write
	writeDone chan struct{} // closed at the next successful write

	// The fields below belong to Claim and Read until begun is closed, then to Run, and after it
	// to Withdraw.
	rev        int64
	isRevKnown bool // rev is the last known revision in the store
	failures   int  // calls that failed in a row
}

// ownRecord is the record of this agent as it was at a revision.
type ownRecord struct {
	rev int64   // 0 if there was none
	rec *Record // nil if there was none, or an invalid one
}

// New returns a registration that has written nothing yet. Claim or Read makes the record of an
// earlier start known, then Begin lets Run write.
func New(o Options) *Registration {
	r := &Registration{
		opts: o, key: Key(o.Self), begun: make(chan struct{}), dirty: make(chan struct{}, 1),
		stopped: make(chan struct{}), writeDone: make(chan struct{}),
	}
	r.since.Store(o.Clock.Now().UnixMilli())
	r.begin = sync.OnceFunc(func() { close(r.begun) })
	return r
}

// recordStoreResult counts failures in a row. It logs only when calls begin to fail and
// when they succeed again.
func (r *Registration) recordStoreResult(err error) {
	switch {
	case err != nil && r.failures == 0:
		r.opts.Log.WithError(err).WithField("key", r.key).Warn("store lost for the own record")
	case err == nil && r.failures > 0:
		r.opts.Log.WithField("key", r.key).Info("store regained for the own record")
	}
	if err == nil {
		r.failures = 0
		return
	}
	r.failures++
}

// backoff returns the mean delay before the next attempt.
func (r *Registration) backoff() time.Duration {
	return min(retryDelay*time.Duration(max(r.failures, 1)), maxRetryDelay)
}

// Begin lets Run write the record. The record of an earlier start must be known, and
// Options.Value must return the state that goes with it: after Claim, Begin is called when the
// claimed announcement is in force. Read calls it itself.
func (r *Registration) Begin() { r.begin() }

// RequestWrite requests that the record is written again.
func (r *Registration) RequestWrite() {
	select {
	case r.dirty <- struct{}{}:
	default: // already requested
	}
}

// AwaitWrite waits until the store has the present record. It returns false if ctx ends
// first.
func (r *Registration) AwaitWrite(ctx context.Context) bool {
	for {
		r.mu.Lock()
		same, done := r.isCurrent && r.written.covers(r.current()), r.writeDone
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

// Run keeps the record in the store from Begin until ctx ends.
func (r *Registration) Run(ctx context.Context) {
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
			timing.Sleep(ctx, r.opts.Clock, timing.JitterAround(r.backoff()))
			continue
		}
		select {
		case <-ctx.Done():
		case <-r.dirty:
		}
	}
}

// current returns the record that the store should have.
func (r *Registration) current() Record {
	rec := r.opts.Value()
	rec.Since = r.since.Load()
	return rec
}

// write writes the record until the store has the present value. A record that names no
// target isn't written: nobody needs it, and each one wakes the watches of all agents.
func (r *Registration) write(ctx context.Context) error {
	for {
		rec := r.current()
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
func (r *Registration) put(ctx context.Context, rec Record) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !r.isRevKnown {
		it, err := r.opts.Store.Get(ctx, r.key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		r.rev, r.isRevKnown = it.Revision, true
	}
	if r.rev == 0 {
		rec.Since = r.resetSince() // the record is created, not replaced
	}
	value, err := cbor.Marshal(rec)
	if err != nil {
		return errors.Wrap(err, "encode record")
	}
	rev, err := r.opts.Store.CompareAndSwap(ctx, r.key, r.rev, value, 0)
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
	r.opts.Log.WithFields(log.Fields{
		"key": r.key, "revision": rev, "target": rec.Target, "state": rec.State,
	}).Info("record written")
	return nil
}

// Withdraw deletes the record if its target has left. Otherwise the record stays for the
// next start of this agent. Withdraw waits until Run has returned, so the context of Run
// must have ended.
func (r *Registration) Withdraw(ctx context.Context) error {
	<-r.stopped
	r.mu.Lock()
	isStored := r.isCurrent
	r.mu.Unlock()
	if !isStored || types.TargetState(r.current().State) != types.Down {
		return nil
	}
	return r.opts.Store.Delete(ctx, r.key, r.rev)
}
