package claims

import (
	"strings"
	"time"
)

// needsTailCall reports whether the state requires a read or write of the tail.
func (p *Partition) needsTailCall() bool {
	switch p.state {
	case ReadingTail, RaisingEpoch, Leaving:
		return true
	case Active:
		return p.needsReadBack || len(p.queued)+len(p.inFlight) > 0
	}
	return false
}

// advanceTail makes the next read or write of the tail, unless one is in progress
// or the next one is not due.
func (p *Partition) advanceTail(now time.Time) {
	if p.tailCall.op != 0 || now.Before(p.tailNotBefore) || !p.needsTailCall() {
		return
	}
	key := TailKey(p.spec.Partition)
	switch {
	case p.state == ReadingTail || p.needsReadBack:
		p.tailCall = p.send(now, Action{kind: Read, key: key})
	case p.state == RaisingEpoch:
		p.tailCall = p.send(now, Action{kind: Swap, key: key, revision: p.revision, value: p.takeoverValue})
	default:
		p.writeBatch(now)
	}
}

// writeBatch writes a tail with all claims that are not durable. A partition that
// is Leaving writes a tail without holder.
func (p *Partition) writeBatch(now time.Time) {
	t := Tail{epoch: p.epoch, holder: p.spec.Holder, writeID: p.newWriteID()}
	if p.state == Leaving {
		t.holder, p.isReleaseWrite = "", true
	}
	p.inFlight = append(p.inFlight, p.queued...)
	p.queued = nil
	p.prune(now)
	t.first, t.next = p.nextSegment, p.nextSegment
	if len(p.segments) > 0 {
		t.first = p.segments[0].n
	}
	t.claims = make([]Hash, 0, len(p.unsealed)+len(p.inFlight))
	t.claims = append(t.claims, p.unsealed...)
	for _, w := range p.inFlight {
		t.claims = append(t.claims, w.hash)
	}
	value, err := t.encode()
	if err != nil {
		p.release(now, err.Error())
		return
	}
	p.writeID = t.writeID
	p.tailNotBefore = now.Add(minWriteInterval)
	p.tailCall = p.send(now, Action{
		kind: Swap, key: TailKey(p.spec.Partition), revision: p.revision, value: value,
	})
}

// prune removes claims and segments that the tail does not need any more: expired
// segments and keys, and keys whose request did not run. A key that was claimed
// again is among the claims in flight. While a segment is being written the
// claims stay, because the seal relies on their position in unsealed.
func (p *Partition) prune(now time.Time) {
	for len(p.segments) > 0 && now.Sub(p.segments[0].at) >= p.spec.Retention {
		p.segments = p.segments[1:]
	}
	if p.seal != nil {
		return
	}
	keep := p.unsealed[:0]
	for _, h := range p.unsealed {
		if e, ok := p.table.keys[h]; ok && e.state != claiming {
			keep = append(keep, h)
		}
	}
	p.unsealed = keep
}

// handleTailWrite processes the result of a write of the tail.
func (p *Partition) handleTailWrite(now time.Time, ev Event) {
	switch {
	case p.state == Leaving && p.isReleaseWrite:
		// The result does not matter: the next owner increments the epoch anyway.
		if ev.status == OK {
			p.commit(ev.revision)
		}
		p.release(now, "abdicated")
	case ev.status != OK:
		// A conflict is read back too, because an earlier write of this owner may
		// have reached the store late.
		p.needsReadBack, p.tailNotBefore = true, now
	case p.state == RaisingEpoch:
		p.finishTakeover(now, ev.revision)
	default:
		p.commit(ev.revision)
	}
}

// commit marks the claims of the last write as durable and emits a Run action for
// each.
func (p *Partition) commit(revision int64) {
	p.revision, p.needsReadBack, p.failures = revision, false, 0
	for _, w := range p.inFlight {
		p.unsealed = append(p.unsealed, w.hash)
		p.table.setState(w.hash, running)
		p.table.tickets[w.hash] = w.ticket
		p.actions = append(p.actions, Action{kind: Run, hash: w.hash, ticket: w.ticket})
	}
	p.inFlight = nil
}

// handleTailRead processes the result of a read of the tail, made for a takeover
// or to find out whether a write took effect.
func (p *Partition) handleTailRead(now time.Time, ev Event) {
	var t Tail
	if ev.status == OK {
		var err error
		if t, err = DecodeTail(ev.value); err != nil {
			p.release(now, err.Error())
			return
		}
	} else if ev.status != NotFound {
		p.tailNotBefore = now.Add(p.retryDelay())
		return
	}
	switch p.state {
	case ReadingTail:
		p.startTakeover(now, t, ev.revision)
	case RaisingEpoch:
		p.resolveTakeover(now, t, ev.revision)
	default:
		p.resolveBatch(now, t, ev.revision)
	}
}

// resolveBatch decides by the tail t whether the last write, whose result was
// unknown or a conflict, took effect.
func (p *Partition) resolveBatch(now time.Time, t Tail, revision int64) {
	switch {
	case t.epoch != p.epoch || !strings.HasPrefix(t.writeID, p.writeIDPrefix):
		p.release(now, "another daemon has taken the partition over")
	case t.writeID == p.writeID:
		p.commit(revision)
	default:
		// The tail is from an earlier write of this owner, so the last write has
		// not taken effect yet. It is repeated; if the first copy still reaches the
		// store, one of the two conflicts.
		p.needsReadBack, p.revision = false, revision
		if p.state == Leaving {
			p.refuse(p.inFlight, "partition moves to another daemon")
			p.inFlight = nil
		}
	}
}
