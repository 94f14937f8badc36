package lease

import "time"

// observeLeader records a leader's epoch, and its record if value can be
// decoded. A lower epoch than the highest known is ignored, because a watch may
// deliver the former leader's key late. A holder that leads with a lower epoch
// gives up.
func (h *Holder) observeLeader(now time.Time, epoch uint64, value []byte) {
	if epoch < h.maxEpoch {
		return
	}
	if epoch > h.maxEpoch {
		h.leader = Record{}
	}
	h.maxEpoch = epoch
	if r, err := DecodeRecord(value); err == nil {
		h.leader = r
	}
	switch {
	case h.phase == Held && epoch > h.epoch:
		h.giveUp(now, "another holder seen")
		h.checkAt = now.Add(h.spec.LeaseTime + h.rankDelay())
	case h.phase == Waiting:
		h.checkAt = now.Add(h.spec.LeaseTime + h.rankDelay())
	}
}

// observeDeletion handles the deletion of the key. A deletion at a revision that
// is not above the highest known epoch is that of a former leader's key.
func (h *Holder) observeDeletion(now time.Time, revision uint64) {
	if revision <= h.maxEpoch {
		return
	}
	switch h.phase {
	case Held:
		h.giveUp(now, "leader key deleted")
	case Waiting:
		h.checkAt = earlier(h.checkAt, now.Add(h.rankDelay()))
	}
}

// handleRead handles the answer to the read before or after a creation.
func (h *Holder) handleRead(now time.Time, ev Event) {
	if !h.completeCall(ev) {
		return
	}
	switch h.phase {
	case Checking:
		h.handleCheck(now, ev)
	case Resolving:
		h.handleReadBack(now, ev)
	}
}

// handleCheck handles the read that precedes the request for a lease.
func (h *Holder) handleCheck(now time.Time, ev Event) {
	switch ev.status {
	case OK:
		h.phase, h.backoff = Waiting, 0
		h.checkAt = now.Add(h.spec.LeaseTime + h.rankDelay())
		h.observeLeader(now, uint64(ev.revision), ev.value)
	case NotFound:
		h.phase, h.backoff = Granting, 0
		h.call(now, Action{kind: Grant, ttl: h.spec.LeaseTime})
	default:
		h.retryLater(now, "store did not answer")
	}
}

func (h *Holder) handleGrant(now time.Time, ev Event) {
	sent := h.pending.sent
	if !h.completeCall(ev) {
		if ev.status == OK && ev.lease != 0 && ev.lease != h.lease {
			// The answer came after its timeout, so nobody will renew this lease.
			h.actions = append(h.actions, Action{kind: Revoke, lease: ev.lease})
		}
		return
	}
	if ev.status != OK {
		h.retryLater(now, "no lease granted")
		return
	}
	h.lease, h.grantSent = ev.lease, sent
	h.deadline = h.safeUntil(sent, ev.ttl)
	h.writeID = h.nextWriteID()
	value, err := Record{
		holder: h.spec.ID, address: h.spec.Address, knownEpoch: h.maxEpoch, writeID: h.writeID,
	}.Encode()
	if err != nil {
		h.giveUp(now, err.Error())
		return
	}
	h.phase = Creating
	h.call(now, Action{kind: Swap, key: Key(h.spec.DataCentre), value: value, lease: h.lease})
}

func (h *Holder) handleSwap(now time.Time, ev Event) {
	if !h.completeCall(ev) {
		return
	}
	switch ev.status {
	case OK:
		h.becomeLeader(now, uint64(ev.revision))
	case LeaseGone:
		h.giveUp(now, "lease gone before the key was created")
	default:
		// A conflict is read back too: if the transport has sent the call twice,
		// the first one may have created the key.
		h.phase = Resolving
		h.call(now, Action{kind: Read, key: Key(h.spec.DataCentre)})
	}
}

// handleReadBack handles the read that finds out whether a creation without a
// definite answer took effect.
func (h *Holder) handleReadBack(now time.Time, ev Event) {
	switch ev.status {
	case OK:
		r, err := DecodeRecord(ev.value)
		if err == nil && r.writeID == h.writeID {
			h.becomeLeader(now, uint64(ev.revision))
			return
		}
		h.giveUp(now, "another candidate created the key")
		h.observeLeader(now, uint64(ev.revision), ev.value)
	case NotFound:
		h.giveUp(now, "the key was not created")
	default:
		if !now.Before(h.deadline) {
			h.retryLater(now, "creation not resolved within the lease time")
			return
		}
		h.checkAt = now.Add(h.callTimeout()/4 + h.jitter(h.callTimeout()/4))
	}
}

// becomeLeader starts a leadership, unless the lease has ended or the epoch is not
// above the highest known one.
func (h *Holder) becomeLeader(now time.Time, epoch uint64) {
	// A watch may have delivered the created key before the answer came.
	known := epoch == h.maxEpoch && h.leader.writeID == h.writeID
	switch {
	case epoch <= h.maxEpoch && !known:
		h.giveUp(now, "store revision is not above the known epoch")
	case !now.Before(h.deadline):
		h.giveUp(now, "lease ran out while the key was created")
	default:
		h.phase, h.epoch, h.maxEpoch = Held, epoch, epoch
		h.leader = Record{holder: h.spec.ID, address: h.spec.Address, writeID: h.writeID}
		h.backoff, h.reason = 0, ""
		h.renewAt = h.grantSent.Add(h.spec.LeaseTime / renewDivisor)
	}
}

// retryLater ends an attempt and adds a random wait to the next one. The limit of
// that wait doubles with each failure, from minBackoff up to the lease time.
func (h *Holder) retryLater(now time.Time, reason string) {
	h.giveUp(now, reason)
	h.backoff = min(max(2*h.backoff, minBackoff), max(h.spec.LeaseTime, minBackoff))
	h.checkAt = h.checkAt.Add(h.jitter(h.backoff))
}
