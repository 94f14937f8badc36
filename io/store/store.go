package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of store operations. Any other error means that the store could not
// be reached before anything was sent.
var (
	// ErrNotFound means that the key has no value.
	ErrNotFound = errors.New("key not found in store")
	// ErrConflict means that the key has another revision than expected, so
	// the write did not take effect.
	ErrConflict = errors.New("store revision conflict")
	// ErrUnknown means that the write may or may not have taken effect.
	ErrUnknown = errors.New("store write outcome unknown")
	// ErrLeaseGone means that the lease has expired or was revoked.
	ErrLeaseGone = errors.New("store lease gone")
	// ErrBudget means that the call budget is used up; nothing was sent.
	ErrBudget = errors.New("store call budget used up")
	// ErrUnavailable means that the store did not answer.
	ErrUnavailable = errors.New("store unavailable")
	// ErrCompacted means that the store has dropped the changes asked for.
	ErrCompacted = errors.New("store has dropped its history")
	// ErrRestored means that the store has returned from an older copy: changes
	// that were known are gone, and its revisions were issued again.
	ErrRestored = errors.New("store restored from an older copy")
)

// LeaseID names a lease; 0 is no lease.
type LeaseID int64

// Item is a key with its value. Revision is the store's revision of the last
// write to the key, 0 for a key that does not exist.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Lease    LeaseID
}

// Event is a change of one key. Deleted events have no value.
type Event struct {
	Item    Item
	Deleted bool
	// Synced marks the end of the items as they were when the watch began. It
	// comes alone: keys that have not been seen by then do not exist.
	Synced bool
}

// Store holds the operations of the platform's key-value service. An adapter
// has either Watch, or List and Changes.
type Store struct {
	// Get returns the item of a key, or ErrNotFound.
	Get func(ctx context.Context, key string) (Item, error)
	// CompareAndSwap writes value if the key has the given revision (0: does
	// not exist) and returns the new revision. A lease of 0 keeps the value
	// until it is replaced. It fails with ErrConflict, or with ErrUnknown if
	// the answer was lost.
	CompareAndSwap func(ctx context.Context, key string, revision int64, value []byte, lease LeaseID) (int64, error)
	// Delete deletes a key that has the given revision. It fails as
	// CompareAndSwap does. Only adapters with List and Changes have it.
	Delete func(ctx context.Context, key string, revision int64) error
	// Watch calls fn for each item below prefix as it is now, then with a
	// Synced event, then for each change in order of revision, until ctx ends or the connection breaks.
	// It returns the reason.
	Watch func(ctx context.Context, prefix string, fn func(Event)) error
	// List returns the items below prefix and a revision: changes after it may
	// be missing. A stale listing may be seconds old and costs less.
	List func(ctx context.Context, prefix string, stale bool) ([]Item, int64, error)
	// Changes waits until there are changes below prefix after a revision, at
	// most for wait. It returns them in order and the revision to go on from. It
	// fails with ErrCompacted if they are not known any more, and with ErrRestored
	// if the revision is one of before the store was restored.
	Changes func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
	// Grant makes a lease that expires ttl after the last renewal.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease and returns its time to live, or ErrLeaseGone.
	Renew func(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes the keys under it.
	Revoke func(ctx context.Context, id LeaseID) error
}
