package lease

import "time"

// see takes note of a leader. An event older than what is known is ignored:
// a watch may deliver the former leader's key late.
func (h *Holder) see(now time.Time, epoch uint64, value []byte) {
	if epoch < h.seen {
		return
	}
	if epoch > h.seen {
		h.leader = Record{}
	}
	h.seen = epoch
	if r, err := DecodeRecord(value); err == nil {
		h.leader = r
	}
	switch {
	case h.phase == Held && epoch > h.epoch:
		h.giveUp(now, "another holder seen")
		h.checkAt = now.Add(h.spec.LeaseTime + h.rankWait())
	case h.phase == Waiting:
		h.checkAt = now.Add(h.spec.LeaseTime + h.rankWait())
	}
}

// seeGone takes note of the deletion of the key. A deletion that is not newer
// than the known epoch is that of a former leader's key.
func (h *Holder) seeGone(now time.Time, revision uint64) {
	if revision <= h.seen {
		return
	}
	switch h.phase {
	case Held:
		h.giveUp(now, "leader key deleted")
	case Waiting:
		h.checkAt = earlier(h.checkAt, now.Add(h.rankWait()))
	}
}

func (h *Holder) readAnswer(now time.Time, ev Event) {
	if !h.answered(ev) {
		return
	}
	switch h.phase {
	case Checking:
		h.checked(now, ev)
	case Resolving:
		h.resolved(now, ev)
	}
}

func (h *Holder) checked(now time.Time, ev Event) {
	switch ev.status {
	case OK:
		h.phase, h.backoff = Waiting, 0
		h.checkAt = now.Add(h.spec.LeaseTime + h.rankWait())
		h.see(now, uint64(ev.revision), ev.value)
	case NotFound:
		h.phase, h.backoff = Granting, 0
		h.call(now, Action{kind: Grant, ttl: h.spec.LeaseTime})
	default:
		h.retryLater(now, "store did not answer")
	}
}

func (h *Holder) grantAnswer(now time.Time, ev Event) {
	sent := h.pending.sent
	if !h.answered(ev) {
		if ev.status == OK && ev.lease != 0 && ev.lease != h.lease {
			// A grant given up on: nobody will renew this lease.
			h.out = append(h.out, Action{kind: Revoke, lease: ev.lease})
		}
		return
	}
	if ev.status != OK {
		h.retryLater(now, "no lease granted")
		return
	}
	h.lease, h.granted = ev.lease, sent
	h.deadline = h.safeUntil(sent, ev.ttl)
	h.writeID = h.nextWriteID()
	value, err := Record{
		holder: h.spec.ID, address: h.spec.Address, after: h.seen, writeID: h.writeID,
	}.Encode()
	if err != nil {
		h.giveUp(now, err.Error())
		return
	}
	h.phase = Creating
	h.call(now, Action{kind: Swap, key: Key(h.spec.DataCentre), value: value, lease: h.lease})
}

func (h *Holder) swapAnswer(now time.Time, ev Event) {
	if !h.answered(ev) {
		return
	}
	switch ev.status {
	case OK:
		h.hold(now, uint64(ev.revision))
	case LeaseGone:
		h.giveUp(now, "lease gone before the key was created")
	default:
		// A conflict is read back too: a transport may have sent the call twice.
		h.phase = Resolving
		h.call(now, Action{kind: Read, key: Key(h.spec.DataCentre)})
	}
}

// resolved takes the read-back of a creation whose answer was lost.
func (h *Holder) resolved(now time.Time, ev Event) {
	switch ev.status {
	case OK:
		r, err := DecodeRecord(ev.value)
		if err == nil && r.writeID == h.writeID {
			h.hold(now, uint64(ev.revision))
			return
		}
		h.giveUp(now, "another candidate created the key")
		h.see(now, uint64(ev.revision), ev.value)
	case NotFound:
		h.giveUp(now, "the key was not created")
	default:
		if !now.Before(h.deadline) {
			h.retryLater(now, "creation not resolved within the lease time")
			return
		}
		h.checkAt = now.Add(h.callTime()/4 + h.jitter(h.callTime()/4))
	}
}

// hold starts a leadership, if the lease lasts and the epoch is new.
func (h *Holder) hold(now time.Time, epoch uint64) {
	// A watch may have shown the created key before the answer came.
	known := epoch == h.seen && h.leader.writeID == h.writeID
	switch {
	case epoch <= h.seen && !known:
		h.giveUp(now, "store revision is not above the known epoch")
	case !now.Before(h.deadline):
		h.giveUp(now, "lease ran out while the key was created")
	default:
		h.phase, h.epoch, h.seen = Held, epoch, epoch
		h.leader = Record{holder: h.spec.ID, address: h.spec.Address, writeID: h.writeID}
		h.backoff, h.reason = 0, ""
		h.renewAt = h.granted.Add(h.spec.LeaseTime / renewShare)
	}
}

// retryLater ends an attempt and waits longer after each failure, at random.
func (h *Holder) retryLater(now time.Time, reason string) {
	h.giveUp(now, reason)
	h.backoff = min(max(2*h.backoff, firstBackoff), max(h.spec.LeaseTime, firstBackoff))
	h.checkAt = h.checkAt.Add(h.jitter(h.backoff))
}
