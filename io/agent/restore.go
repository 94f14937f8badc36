package agent

import (
	"context"
	"time"

	"trefoilthread/core/beat"
	"trefoilthread/core/types"
)

// tableWaitTime is how often a starting agent checks whether it knows the configuration.
const tableWaitTime = 50 * time.Millisecond

// claimRecord makes the record of an earlier start of this agent known, with the first
// announcement of the target in this start. It returns false if the store is unavailable.
func (a *Agent) claimRecord(ctx context.Context, ann beat.Announcement) bool {
	state := types.Up
	if ann.Draining {
		state = types.Draining
	}
	return a.restoreFrom(func() (*storedRecord, error) {
		return a.registration.claim(ctx, a.recordOf(ann, state), func(previous *storedRecord) bool {
			return follows(ann, previous)
		})
	})
}

// readRecord reads the record of an earlier start of this agent if it isn't known yet. It
// returns false if the store is unavailable.
func (a *Agent) readRecord(ctx context.Context) bool {
	isKnown := a.restoreFrom(func() (*storedRecord, error) { return a.registration.read(ctx) })
	if isKnown {
		a.registration.begin()
	}
	return isKnown
}

// restoreFrom restores the target from the record that source returns, unless the record
// of an earlier start is known already. It returns false if source fails.
func (a *Agent) restoreFrom(source func() (*storedRecord, error)) bool {
	a.restoring.Lock()
	defer a.restoring.Unlock()
	if a.isRestored.Load() {
		return true
	}
	previous, err := source()
	if err != nil {
		return false
	}
	a.restoreTarget(previous)
	return true
}

// restoreTarget restores the target from the record of an earlier start of this agent;
// rec is nil if there is none.
func (a *Agent) restoreTarget(rec *storedRecord) {
	a.isRestored.Store(true)
	if rec == nil {
		return
	}
	a.keepSince(*rec)
	if rec.Target == "" {
		return
	}
	ann, gone := rec.announcement()
	a.target.restore(ann, gone)
}

// follows reports whether an announcement is accepted after the record of an earlier
// start, and the record of the announcement says what is known after both.
func follows(ann beat.Announcement, previous *storedRecord) bool {
	if previous == nil || previous.Target == "" {
		return true
	}
	t := beat.New()
	t.Restore(previous.announcement())
	return t.Announce(ann) != beat.Stale && (t.State() == types.Draining) == ann.Draining
}

// restoreRunning restores the target of a listed record of an earlier start if it is
// still running, so that a restart of the agent alone does not take the target out of
// service until its next announcement. The listing may be stale: the record of this start
// is only written if it shows the latest one, else the latest one is read.
func (a *Agent) restoreRunning(ctx context.Context, rec *storedRecord) {
	if types.TargetState(rec.State) != types.Up {
		return
	}
	for !a.isRestored.Load() && ctx.Err() == nil {
		if path := a.serviceInfo(types.ServiceName(rec.Service)).HealthPath; path != "" {
			if a.target.isRunning(ctx, types.TargetID(rec.Target), path) {
				ann, _ := rec.announcement()
				if a.claimRecord(ctx, ann) {
					a.registration.begin()
				}
			}
			return
		}
		sleep(ctx, a.clock, tableWaitTime)
	}
}
