package agent

import "trefoilthread/core/types"

// setRate sets the calls a second that the target with an id takes, as it has named them.
// If it has named none, a limit from before ends, provided that this was in an answer of
// its own: the response to a health check or a refusal needn't name it.
func (t *localTarget) setRate(id types.TargetID, perSecond float64, isAnswer bool) {
	if perSecond == 0 && !isAnswer {
		return
	}
	t.mu.Lock()
	cur, _ := t.announced.Current()
	before := t.rate
	if cur.ID != id || before == perSecond {
		t.mu.Unlock()
		return
	}
	t.rate = perSecond
	t.gate.SetRate(t.clock.Now(), perSecond)
	t.mu.Unlock()
	if before == 0 || perSecond == 0 {
		t.metrics.countEvent("rate_limits_changed")
		t.log.WithField("target", string(id)).WithField("perSecond", perSecond).WithField("before", before).Info("target limits its calls")
	}
}
