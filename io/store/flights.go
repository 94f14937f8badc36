package store

import (
	"context"
	"strconv"
	"sync"

	"golang.org/x/sync/singleflight"
)

// flights lets concurrent reads of a key share calls. At most one call per key
// is in progress; reads that arrive during it share the next one. They must
// not join the call in progress: it may have been answered before a write that
// was complete when they arrived.
type flights struct {
	group singleflight.Group

	mu   sync.Mutex
	keys map[string]*flightKey
	next uint64
}

// flightKey is the state of one key that is being read.
type flightKey struct {
	turn    chan struct{} // holds one token; taken during the call
	joining string        // name of the flight that arrivals join, "" if none
	users   int           // readers and flights
}

// do returns the result of a call that starts after do was called. The first
// read of a flight is asked by admit whether the call may be made at all.
func (f *flights) do(ctx context.Context, key string, admit func() (bool, error), call func(trial bool) (Item, error)) (Item, error) {
	f.mu.Lock()
	k := f.keys[key]
	if k == nil {
		k = &flightKey{turn: make(chan struct{}, 1)}
		if f.keys == nil {
			f.keys = map[string]*flightKey{}
		}
		f.keys[key] = k
	}
	var trial bool
	if k.joining == "" {
		var err error
		if trial, err = admit(); err != nil {
			if k.users == 0 {
				delete(f.keys, key)
			}
			f.mu.Unlock()
			return Item{}, err
		}
		f.next++
		k.joining = strconv.FormatUint(f.next, 10)
		k.users++
	}
	name := k.joining
	k.users++
	// Started under the lock, so that the flight of this name is not over.
	result := f.group.DoChan(name, func() (any, error) {
		k.turn <- struct{}{}
		f.mu.Lock()
		k.joining = ""
		f.mu.Unlock()
		defer func() {
			<-k.turn
			f.leave(key, k)
		}()
		return call(trial)
	})
	f.mu.Unlock()
	defer f.leave(key, k)
	select {
	case <-ctx.Done():
		return Item{}, Unavailable(ctx, "get "+key, context.Cause(ctx))
	case r := <-result:
		it, _ := r.Val.(Item)
		return it, r.Err
	}
}

func (f *flights) leave(key string, k *flightKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k.users--; k.users == 0 {
		delete(f.keys, key)
	}
}
