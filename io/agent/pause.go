package agent

import (
	"time"

	"github.com/apex/log"

	"trefoilthread/core/types"
	"trefoilthread/io/httpw"
)

// reasonPaused is the reason of a refusal in a pause of the target.
const reasonPaused = "target's last responses were too long, it gets no calls for a pause"

// startUnlessPaused returns 0 if a call may start at the target, else the time until one may. In a
// pause, the call that gets 0 is the trial call, and others are refused meanwhile.
func (t *localTarget) startUnlessPaused() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if t.pauses.Start(now) {
		return 0
	}
	return t.pauses.Left(now)
}

// retryDelay returns the time for which calls are refused for a reason, 0 if it is unknown, with the
// lock held.
func (t *localTarget) retryDelay(reason string, now time.Time) time.Duration {
	if reason != reasonPaused {
		return 0
	}
	return t.pauses.Left(now)
}

// recordResponse counts the response of the target with an id to a call that started at the given
// time: as too long by its error, as sound, or not at all.
func (t *localTarget) recordResponse(id types.TargetID, started time.Time, isSound bool, err error) {
	t.mu.Lock()
	cur, _ := t.announced.Current()
	isChange := false
	switch {
	case cur.ID != id: // replaced since
	case httpw.IsTooLong(err):
		isChange = t.pauses.RecordTooLong(t.clock.Now(), started)
	case isSound:
		isChange = t.pauses.RecordComplete()
	}
	pause, n := t.pauses.Pause(), t.pauses.InARow()
	t.mu.Unlock()
	if !isChange {
		return
	}
	t.metrics.countEvent("pause_changes")
	l := t.log.WithFields(log.Fields{
		"target": string(cur.ID), "service": string(cur.Service), "pauseMs": pause.Milliseconds(), "tooLong": n,
	})
	if pause > 0 {
		l.Warn("target gets no calls, its responses are too long")
	} else {
		l.Info("pause of target ended")
	}
}
