package agent

import (
	"context"
	"time"

	"trefoilthread/core/beat"
	"trefoilthread/core/probe"
	"trefoilthread/core/types"
)

const (
	// probeTime bounds a health check: calls wait for it.
	probeTime = 40 * time.Millisecond
	// probePause is how long none is made after one that failed.
	probePause = 500 * time.Millisecond
)

// newProbes returns the budget of the health checks of one target. It is open
// at once: the users' bound is an average over a day, and a new process has to
// learn the pace.
func newProbes(now time.Time, perSecond int) *probe.Budget {
	if perSecond <= 0 {
		return probe.New(now, probe.Options{Budget: -1})
	}
	return probe.New(now.Add(-2*time.Second), probe.Options{
		Budget: time.Duration(perSecond) * probe.Cost, Window: time.Second, Records: perSecond,
	})
}

// measure asks the target for the pace of its host, if that isn't known as of
// now, and returns when it is. Calls that come meanwhile share the answer.
func (o *own) measure(ctx context.Context) {
	o.mu.Lock()
	wait := o.probing
	cur, path := o.beginProbe()
	o.mu.Unlock()
	switch {
	case path != "":
		o.runProbe(cur, path)
	case wait != nil:
		select {
		case <-wait:
		case <-ctx.Done():
		}
	}
}

// beginProbe decides whether to make a health check, with the lock held. It
// returns the path to ask for, "" for none.
func (o *own) beginProbe() (beat.Announcement, string) {
	now := o.clock.Now()
	cur, ok := o.beat.Current()
	if !ok || o.probing != nil || o.beat.State() != types.Up || !o.pace.IsStale(now) || now.Before(o.probeFrom) {
		return cur, ""
	}
	path := o.service(cur.Service).HealthPath
	if path == "" || !o.probes.Grant(now, probe.Cost).Granted() {
		return cur, ""
	}
	o.probing = make(chan struct{})
	return cur, path
}

// runProbe makes a health check. It doesn't end with the call that needs it,
// since others wait for it.
func (o *own) runProbe(cur beat.Announcement, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTime)
	defer cancel()
	resp, err := o.client.Do(ctx, o.wire.HealthRequest(path))
	var id types.TargetID
	var pace float64
	if err == nil {
		id, pace = o.wire.ReadHealth(resp)
	} else {
		// The target may have dropped its idle connections without notice. A
		// request that may run once would be lost on the next one.
		o.client.Flush()
	}
	if id == cur.ID {
		o.setPace(pace)
	}
	o.mu.Lock()
	o.count.event("probes")
	switch {
	case err != nil || id != cur.ID:
		o.count.event("probes_failed")
		o.probeFrom = o.clock.Now().Add(probePause)
	case pace == 0:
		o.pace.ObserveNone()
	}
	close(o.probing)
	o.probing = nil
	o.mu.Unlock()
}
