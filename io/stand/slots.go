package stand

import (
	"context"
	"slices"
	"time"
)

// occupy takes a slot, in order of arrival. It reports false if all are
// occupied and the target sheds, or if ctx ends first.
func (t *Target) occupy(ctx context.Context) bool {
	t.mu.Lock()
	if t.stats.InFlight < t.opts.Slots {
		t.stats.InFlight++
		t.noteLoad()
		t.mu.Unlock()
		return true
	}
	if t.opts.Shed {
		t.mu.Unlock()
		return false
	}
	turn := make(chan struct{})
	t.waiting = append(t.waiting, turn)
	t.noteLoad()
	t.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.waiting, turn); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
		t.noteLoad()
		return false
	}
	// The slot was handed over at the same moment: pass it on.
	t.release()
	return false
}

// vacate frees a slot.
func (t *Target) vacate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.release()
}

// release hands the slot to the next request that waits. The lock must be held.
func (t *Target) release() {
	if len(t.waiting) > 0 {
		close(t.waiting[0])
		t.waiting = t.waiting[1:]
	} else {
		t.stats.InFlight--
	}
	t.noteLoad()
}

// noteLoad records the load for /load. The lock must be held.
func (t *Target) noteLoad() {
	t.stats.MaxInFlight = max(t.stats.MaxInFlight, t.stats.InFlight)
	t.log.add(time.Now(), Load{InFlight: t.stats.InFlight, Queued: len(t.waiting), Slots: t.opts.Slots})
}
