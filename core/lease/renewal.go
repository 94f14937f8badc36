package lease

import "time"

// renew starts a renewal. Earlier ones may still be in flight; their answers
// count too.
func (h *Holder) renew(now time.Time) {
	h.lastOp++
	if len(h.renewals) == maxRenewals {
		h.renewals = h.renewals[1:]
	}
	h.renewals = append(h.renewals, call{op: h.lastOp, sent: now})
	h.actions = append(h.actions, Action{kind: Renew, op: h.lastOp, lease: h.lease})
	h.renewAt = now.Add(h.spec.LeaseTime / renewDivisor)
}

// handleRenewal handles the answer to a renewal.
func (h *Holder) handleRenewal(now time.Time, ev Event) {
	sent, ok := h.takeRenewal(ev.op)
	if !ok || h.phase != Held {
		return
	}
	switch ev.status {
	case OK:
		if d := h.safeUntil(sent, ev.ttl); d.After(h.deadline) {
			h.deadline = d
		}
	case LeaseGone:
		h.giveUp(now, "lease gone")
	default:
		// A ninth of the lease time at most, so that further tries fit in before
		// the lease ends.
		retry := h.spec.LeaseTime / (3 * renewDivisor)
		h.renewAt = earlier(h.renewAt, now.Add(retry/2+h.jitter(retry/2)))
	}
}

// takeRenewal removes a renewal in flight and returns when it was sent.
func (h *Holder) takeRenewal(op uint64) (time.Time, bool) {
	for i, c := range h.renewals {
		if c.op == op {
			h.renewals = append(h.renewals[:i], h.renewals[i+1:]...)
			return c.sent, true
		}
	}
	return time.Time{}, false
}

// safeUntil returns until when a holder may rely on a lease whose grant or
// renewal was sent at sent. The store may give less than the lease time of the
// Spec; if it gives more, the excess is not used.
func (h *Holder) safeUntil(sent time.Time, ttl time.Duration) time.Time {
	ttl = min(ttl, h.spec.LeaseTime)
	return sent.Add(ttl - h.spec.LeaseTime/marginDivisor)
}
