package lease

import "time"

// renew sends a renewal. Earlier ones may still be answered.
func (h *Holder) renew(now time.Time) {
	h.ops++
	if len(h.renews) == maxRenewals {
		h.renews = h.renews[1:]
	}
	h.renews = append(h.renews, call{op: h.ops, sent: now})
	h.out = append(h.out, Action{kind: Renew, op: h.ops, lease: h.lease})
	h.renewAt = now.Add(h.spec.LeaseTime / renewShare)
}

func (h *Holder) renewAnswer(now time.Time, ev Event) {
	sent, ok := h.endRenewal(ev.op)
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
		// The next try comes early enough for another one after it.
		retry := h.spec.LeaseTime / (3 * renewShare)
		h.renewAt = earlier(h.renewAt, now.Add(retry/2+h.jitter(retry/2)))
	}
}

func (h *Holder) endRenewal(op uint64) (time.Time, bool) {
	for i, c := range h.renews {
		if c.op == op {
			h.renews = append(h.renews[:i], h.renews[i+1:]...)
			return c.sent, true
		}
	}
	return time.Time{}, false
}

// safeUntil returns until when a lease is safe whose grant or renewal was sent
// at sent. The store may give less time than asked for; more is not used.
func (h *Holder) safeUntil(sent time.Time, ttl time.Duration) time.Time {
	ttl = min(ttl, h.spec.LeaseTime)
	return sent.Add(ttl - h.spec.LeaseTime/marginShare)
}
