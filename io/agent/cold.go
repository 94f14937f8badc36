package agent

import (
	"time"

	"trefoilthread/core/admit"
	"trefoilthread/core/beat"
	"trefoilthread/core/cold"
	"trefoilthread/core/vhost"
)

const (
	// maxAnnouncementDelay is the time that an announcement may have taken to arrive at
	// targets without health checks: it doesn't show that the target was warm after an event
	// that is more recent.
	maxAnnouncementDelay = 50 * time.Millisecond
	// coldProbeRetryDelay takes the place of probeRetryDelay at targets that may be cold.
	// During the longer delay a target that turned cold would go unnoticed.
	coldProbeRetryDelay = 100 * time.Millisecond
)

// coldOptions returns what the configuration says of cold targets of a service.
func coldOptions(s vhost.ServiceSpec) cold.Options {
	return cold.Options{Time: s.ColdTime, HasChecks: s.HealthPath != ""}
}

// localService returns the configuration of the target's service, with the lock held.
func (t *localTarget) localService() vhost.ServiceSpec {
	cur, _ := t.announced.Current()
	return t.service(cur.Service)
}

// needsColdCheck reports whether a health check has to say whether the target is cold, with
// the lock held.
func (t *localTarget) needsColdCheck(now time.Time) bool {
	rate := t.localService().ColdRate
	return rate > 0 && t.cold.NeedsCheck(now, t.coldBound.Spare(rate))
}

// probeRetryPause returns the time without health checks after a failed one, with the lock
// held.
func (t *localTarget) probeRetryPause() time.Duration {
	if t.localService().ColdRate > 0 {
		return coldProbeRetryDelay
	}
	return probeRetryDelay
}

// hearAnnouncement records how much longer the target is cold, as an announcement says that
// came just now. It may have been under way for seconds, so it can only prolong the cold time;
// health checks show that it is over. Without them, announcements have to.
func (t *localTarget) hearAnnouncement(remaining time.Duration) {
	t.mu.Lock()
	now := t.clock.Now()
	switch s := t.localService(); {
	case s.ColdRate > 0 && s.HealthPath == "":
		t.cold.Hear(now.Add(-maxAnnouncementDelay), now, remaining)
	case remaining <= 0:
		t.mu.Unlock()
		return // without calls there are no checks, and their age says nothing
	default:
		t.cold.Prolong(now, remaining)
	}
	after := t.updateCold(now)
	t.mu.Unlock()
	after()
}

// hearHealth records how much longer the target is cold, as the response to a health check
// of cur says that was sent at sent. A cold target is slow, which isn't a slow period of its
// host.
func (t *localTarget) hearHealth(cur beat.Announcement, sent time.Time, remaining time.Duration) {
	t.mu.Lock()
	if known, _ := t.announced.Current(); known.ID != cur.ID || known.Born != cur.Born {
		t.mu.Unlock()
		return // the target has been replaced since
	}
	now := t.clock.Now()
	if remaining > 0 && t.localService().ColdRate > 0 {
		t.pace.SetWarmup(now, remaining)
	}
	t.cold.Hear(sent, now, remaining)
	after := t.updateCold(now)
	t.mu.Unlock()
	after()
}

// presumeCold records an event after which the target may be cold.
func (t *localTarget) presumeCold() {
	t.mu.Lock()
	now := t.clock.Now()
	t.cold.Presume(now)
	after := t.updateCold(now)
	t.mu.Unlock()
	after()
}

// updateCold sets the limit of the gate according to whether the target counts as cold, with
// the lock held. It returns what is to be done without the lock: callers are told, and calls
// that waited are refused.
func (t *localTarget) updateCold(now time.Time) (after func()) {
	s := t.localService()
	isCold := s.ColdRate > 0 && t.cold.IsCold(now, coldOptions(s))
	if isCold {
		perSecond, burst := t.coldBound.Limit(s.ColdRate)
		t.gate.SetColdRate(now, perSecond, burst, t.coldBound.Debt(s.ColdRate, t.cold.Unseen(now)))
	} else {
		t.gate.SetColdRate(now, 0, 0, 0)
	}
	if isCold == t.isCold {
		return func() {}
	}
	t.isCold = isCold
	cur, _ := t.announced.Current()
	l, events := t.load(), t.gate.Tick(now)
	return func() {
		t.deliver(events)
		t.metrics.countEvent("cold_changes")
		t.log.WithField("target", string(cur.ID)).WithField("cold", isCold).WithField("perSecond", l.Rate).
			WithField("remainingMs", l.RateMs).Info("target limits its calls while it is cold")
		t.onPaceChange(cur, l)
	}
}

// recordStart counts a call that is sent to the target.
func (t *localTarget) recordStart(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.localService().ColdRate > 0 {
		t.cold.Start(now)
	}
}

// countRefusal counts a refusal by the limit of a cold target, by a drain or in a pause.
func (t *localTarget) countRefusal(reason string) {
	switch reason {
	case admit.ReasonCold:
		t.metrics.countEvent("calls_refused_cold")
	case admit.ReasonDrained:
		t.metrics.countEvent("calls_refused_drained")
	case reasonPaused:
		t.metrics.countEvent("calls_refused_paused")
	}
}

// coldLoad returns the limit of a cold target for a report, zero values if there is none,
// with the lock held.
func (t *localTarget) coldLoad(now time.Time) (perSecond float64, lastsMs, startInMs int64) {
	perSecond, startIn := t.gate.ColdRate(now)
	if perSecond == 0 {
		return 0, 0, 0
	}
	left := t.cold.Remaining(now, coldOptions(t.localService()))
	return perSecond, max(1, left.Milliseconds()), startIn.Milliseconds()
}
