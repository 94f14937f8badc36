package agent

import (
	"context"
	"time"

	"trefoilthread/core/beat"
	"trefoilthread/core/probe"
	"trefoilthread/core/types"
)

const (
	// probeTimeout bounds a health check, since calls wait for its result.
	probeTimeout = 40 * time.Millisecond
	// probeRetryDelay is the time without health checks after a failed one.
	probeRetryDelay = 500 * time.Millisecond
)

// newProbes returns the health check budget of one target. Checks are allowed at once,
// without the first window without grants that probe.New sets: the users' limit is an
// average over a day, and a new process has to learn the pace of the host.
func newProbes(now time.Time, perSecond int) *probe.Budget {
	if perSecond <= 0 {
		return probe.New(now, probe.Options{Budget: -1})
	}
	return probe.New(now.Add(-2*time.Second), probe.Options{
		Budget: time.Duration(perSecond) * probe.Cost, Window: time.Second, Records: perSecond,
	})
}

// measurePace makes a health check if the pace of the target's host is stale and the
// budget allows one. Concurrent calls wait for the same check.
func (t *localTarget) measurePace(ctx context.Context) {
	t.mu.Lock()
	wait := t.probeDone
	cur, path := t.beginProbe()
	t.mu.Unlock()
	switch {
	case path != "":
		t.runProbe(cur, path)
	case wait != nil:
		select {
		case <-wait:
		case <-ctx.Done():
		}
	}
}

// beginProbe decides whether to make a health check, with the lock held. It returns the
// path of the check, "" for none. In a pause there is one before a trial call only, because its
// response may have no end either.
func (t *localTarget) beginProbe() (beat.Announcement, string) {
	now := t.clock.Now()
	cur, ok := t.announced.Current()
	if !ok || t.pauses.Left(now) > 0 || t.probeDone != nil || t.announced.State() != types.Up || !t.pace.IsStale(now) && !t.needsColdCheck(now) || now.Before(t.nextProbeAt) {
		return cur, ""
	}
	path := t.service(cur.Service).HealthPath
	if path == "" || !t.probes.Grant(now, probe.Cost).Granted() {
		return cur, ""
	}
	t.probeDone = make(chan struct{})
	return cur, path
}

// isRunning reports whether the target with an id answers a health check and doesn't leave.
// It is meant for the start, when no calls are running.
func (t *localTarget) isRunning(ctx context.Context, id types.TargetID, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resp, err := t.client.Do(ctx, t.wire.HealthRequest(path))
	if err != nil {
		return false // the target has ended as well, or announces itself later
	}
	defer resp.Memory.Release()
	h := t.wire.ReadHealth(resp)
	return h.Target == id && !h.Leaving
}

// runProbe makes a health check. It is independent of the context of the call that needs
// it, since other calls wait for it as well.
func (t *localTarget) runProbe(cur beat.Announcement, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	sent := t.clock.Now()
	resp, err := t.client.Do(ctx, t.wire.HealthRequest(path))
	var h HealthInfo
	if err == nil {
		h = t.wire.ReadHealth(resp)
		resp.Memory.Release()
	} else {
		t.logBadHealth(cur, err)
		// The target may have closed its idle connections without notice. A request that
		// may run only once would be lost on the next of them.
		t.client.CloseIdle()
	}
	if err == nil && h.Target == cur.ID {
		t.setPace(h.Pace)
		t.setRate(cur.ID, h.Rate, false)
		t.hearHealth(cur, sent, h.Cold)
		if h.Leaving {
			t.noteLeaving(cur.ID)
		}
	}
	t.mu.Lock()
	t.metrics.countEvent("probes")
	if err == nil && h.Target != cur.ID {
		t.cold.Presume(t.clock.Now()) // another start answers
	}
	switch {
	case err != nil || h.Target != cur.ID:
		t.metrics.countEvent("probes_failed")
		t.nextProbeAt = t.clock.Now().Add(t.probeRetryPause())
	case h.Pace == 0:
		t.pace.ObserveNone()
	}
	close(t.probeDone)
	t.probeDone = nil
	t.mu.Unlock()
}
