package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/claims"
	"trefoilthread/core/types"
	"trefoilthread/io/ring"
	"trefoilthread/io/store"
)

// claimEvents bounds the answers of the store that wait for a keeper. A lost
// answer is treated like one that the network lost.
const claimEvents = 64

// keeper drives the at-most-once records of one partition on this daemon.
type keeper struct {
	d      *Daemon
	index  int
	events *ring.Ring[claims.Event]
	poke   chan struct{}

	// mu guards the state below.
	mu      sync.Mutex
	part    *claims.Partition
	decided map[uint64]chan claims.Action // waiting claims by ticket
	changed chan struct{}                 // closed when a run ends or the state changes
	state   claims.State
}

// keeper returns the keeper of a partition and starts it when first used.
func (d *Daemon) keeper(index int) *keeper {
	d.keepMu.Lock()
	defer d.keepMu.Unlock()
	if k, ok := d.keepers[index]; ok {
		return k
	}
	k := &keeper{
		d: d, index: index, events: ring.New[claims.Event](claimEvents), poke: make(chan struct{}, 1),
		decided: map[uint64]chan claims.Action{}, changed: make(chan struct{}),
		part: claims.NewPartition(d.now(), claims.Spec{
			Partition: index, Holder: d.id, Seed: [2]uint64{d.process, uint64(index)},
			Retention: d.set.KeyRetention(), MaxKeys: d.set.KeysMax(),
		}),
	}
	d.keepers[index] = k
	if d.ctx.Err() == nil {
		d.task(k.run)
	}
	return k
}

// run steps the partition until ctx ends.
func (k *keeper) run(ctx context.Context) {
	for {
		now := k.d.now()
		k.mu.Lock()
		wake := k.part.NextWake(now)
		k.mu.Unlock()
		t := k.d.wakeTimer(now, wake)
		ev := claims.Tick()
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case ev = <-k.events.C():
		case <-k.poke:
		case <-t.Chan():
		}
		t.Stop()
		k.step(ctx, ev)
	}
}

// step applies one event and carries out what it asks for.
func (k *keeper) step(ctx context.Context, ev claims.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, a := range k.part.Step(k.d.now(), ev) {
		switch a.Kind() {
		case claims.Run, claims.Refuse:
			if c, ok := k.decided[a.Ticket()]; ok {
				delete(k.decided, a.Ticket())
				c <- a
			}
		default:
			go k.perform(ctx, a)
		}
	}
	if s := k.part.State(); s != k.state {
		k.d.log.WithField("partition", k.index).WithField("state", s.String()).Debug("partition changed")
		k.state = s
		k.wake()
	}
}

// wake lets all who wait look again. k.mu is held.
func (k *keeper) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// perform makes one store call and hands back its result.
func (k *keeper) perform(ctx context.Context, a claims.Action) {
	ctx, cancel := context.WithTimeout(ctx, storeCall)
	defer cancel()
	st := k.d.store
	var ev claims.Event
	switch a.Kind() {
	case claims.Read:
		it, err := st.Get(ctx, a.Key())
		ev = claims.ReadDone(a.Op(), claimStatus(err), it.Value, it.Revision)
	case claims.Swap:
		rev, err := st.CompareAndSwap(ctx, a.Key(), a.Revision(), a.Value(), store.LeaseID(a.Lease()))
		ev = claims.SwapDone(a.Op(), claimStatus(err), rev)
	case claims.Grant:
		id, err := st.Grant(ctx, a.TTL())
		ev = claims.GrantDone(a.Op(), claimStatus(err), int64(id))
	}
	k.events.Put(ev)
}

func claimStatus(err error) claims.Status {
	switch {
	case err == nil:
		return claims.OK
	case errors.Is(err, store.ErrNotFound):
		return claims.NotFound
	case errors.Is(err, store.ErrConflict):
		return claims.Conflict
	case errors.Is(err, store.ErrLeaseGone):
		return claims.LeaseGone
	}
	return claims.Unknown
}

// claim claims a key and waits until the claim is durable. It returns the
// ticket to run under, or the retained response, or a failure. A claim whose
// caller gives up while it waits never runs.
func (k *keeper) claim(ctx context.Context, h claims.Hash) (ticket uint64, response []byte, err error) {
	for {
		k.mu.Lock()
		v := k.part.Claim(k.d.now(), h)
		changed, state := k.changed, k.part.State()
		var decided chan claims.Action
		if v.Answer() == claims.Fresh {
			decided = make(chan claims.Action, 1)
			k.decided[v.Ticket()] = decided
		}
		k.mu.Unlock()
		switch v.Answer() {
		case claims.Fresh:
			signal(k.poke)
			return k.await(ctx, h, v.Ticket(), decided)
		case claims.Completed:
			return 0, v.Response(), nil
		case claims.UnknownOutcome:
			return 0, nil, types.NewFailure(types.Unknown, "the request with this key may have run before")
		case claims.Running:
			// The first request with the key is still running; its response is
			// this one's as well.
		case claims.Refused:
			if state == claims.Active {
				return 0, nil, types.NewFailure(types.NotRun, v.Reason())
			}
			if t, ok := k.d.owner(k.index); ok && t.ID() != k.d.id {
				return 0, nil, moved("the key is kept by another daemon")
			}
			if state == claims.Released {
				k.events.Put(claims.Acquire())
			}
		}
		select {
		case <-changed:
		case <-k.d.clock.After(claimPoll):
		case <-ctx.Done():
			if v.Answer() == claims.Running {
				return 0, nil, types.NewFailure(types.Unknown, "the first request with this key is still running")
			}
			return 0, nil, types.NewFailure(types.NotRun, v.Reason())
		}
	}
}

// claimPoll repeats a claim while the partition is being taken over.
const claimPoll = 50 * time.Millisecond

func (k *keeper) await(ctx context.Context, h claims.Hash, ticket uint64, decided chan claims.Action) (uint64, []byte, error) {
	select {
	case a := <-decided:
		if a.Kind() == claims.Refuse {
			return 0, nil, moved(a.Reason())
		}
		return ticket, nil, nil
	case <-ctx.Done():
	}
	// The decision may still come; the request will not run whatever it is.
	go func() {
		select {
		case a := <-decided:
			if a.Kind() == claims.Run {
				k.finish(func(p *claims.Partition) { p.FinishNotRun(h, ticket) })
			}
		case <-k.d.ctx.Done():
		}
	}()
	return 0, nil, types.NewFailure(types.NotRun, "given up before the key was claimed")
}

// finish records how a run ended.
func (k *keeper) finish(f func(*claims.Partition)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(k.part)
	k.wake()
}

// abdicate gives the partition up because it belongs to another daemon now.
func (k *keeper) abdicate() { k.events.Put(claims.Release()) }
