package agent

import (
	"context"
	"time"

	"trefoilthread/core/beat"
	"trefoilthread/core/types"
	"trefoilthread/io/enrol"
	"trefoilthread/io/timing"
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
	return a.registration.Claim(ctx, a.recordOf(ann, state), func(previous *enrol.Record) bool {
		return follows(ann, previous)
	})
}

// restoreTarget restores the target from the record of an earlier start of this agent.
func (a *Agent) restoreTarget(rec enrol.Record) {
	if rec.Target == "" {
		return
	}
	ann, gone := announcementOf(rec)
	a.target.restore(ann, gone)
}

// follows reports whether an announcement is accepted after the record of an earlier
// start, and the record of the announcement says what is known after both.
func follows(ann beat.Announcement, previous *enrol.Record) bool {
	if previous == nil || previous.Target == "" {
		return true
	}
	t := beat.New()
	t.Restore(announcementOf(*previous))
	return t.Announce(ann) != beat.Stale && (t.State() == types.Draining) == ann.Draining
}

// restoreRunning restores the target of a listed record of an earlier start if it is
// still running, so that a restart of the agent alone does not take the target out of
// service until its next announcement. The listing may be stale: the record of this start
// is only written if it shows the latest one, else the latest one is read.
func (a *Agent) restoreRunning(ctx context.Context, rec *enrol.Record) {
	if types.TargetState(rec.State) != types.Up {
		return
	}
	for !a.registration.IsKnown() && ctx.Err() == nil {
		if path := a.serviceInfo(types.ServiceName(rec.Service)).HealthPath; path != "" {
			if a.target.isRunning(ctx, types.TargetID(rec.Target), path) {
				ann, _ := announcementOf(*rec)
				if a.claimRecord(ctx, ann) {
					a.registration.Begin()
				}
			}
			return
		}
		timing.Sleep(ctx, a.clock, tableWaitTime)
	}
}

// currentRecord returns the value that the record of this agent should have now. A stop
// of the agent isn't recorded: those that call its target hear of it directly, and the
// target is in service again at the next start.
func (a *Agent) currentRecord() enrol.Record { return a.recordOf(a.target.announcedState()) }

// recordOf returns the record of this agent with a target.
func (a *Agent) recordOf(cur beat.Announcement, state types.TargetState) enrol.Record {
	return enrol.Record{
		Boot: a.boot, Address: a.opts.Settings.advertisedAddress(), DataCentre: string(a.opts.Settings.DataCentre),
		Link: a.opts.Settings.Link, Target: string(cur.ID), Service: string(cur.Service), TargetAddress: cur.Address,
		Slots: cur.Slots, Born: cur.Born, TargetSequence: cur.Sequence, State: uint8(state), Leaving: cur.Leaving,
	}
}

// announcementOf returns the target that a record describes and whether it is gone.
func announcementOf(rec enrol.Record) (beat.Announcement, bool) {
	return beat.Announcement{
		ID: types.TargetID(rec.Target), Service: types.ServiceName(rec.Service), Address: rec.TargetAddress,
		Slots: rec.Slots, Born: rec.Born, Sequence: rec.TargetSequence,
		Draining: types.TargetState(rec.State) == types.Draining && !rec.Leaving, Leaving: rec.Leaving,
	}, types.TargetState(rec.State) == types.Down
}
