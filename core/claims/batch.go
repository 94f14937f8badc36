package claims

import (
	"strings"
	"time"
)

// tailWork reports whether a call on the tail is to be made.
func (p *Partition) tailWork() bool {
	switch p.state {
	case Reading, Raising, Leaving:
		return true
	case Active:
		return p.resolving || len(p.batch)+len(p.flight) > 0
	}
	return false
}

// advanceTail makes the next call on the tail.
func (p *Partition) advanceTail(now time.Time) {
	if p.tailCall.op != 0 || now.Before(p.tailNext) || !p.tailWork() {
		return
	}
	key := TailKey(p.spec.Partition)
	switch {
	case p.state == Reading || p.resolving:
		p.tailCall = p.send(now, Action{kind: Read, key: key})
	case p.state == Raising:
		p.tailCall = p.send(now, Action{kind: Swap, key: key, revision: p.revision, value: p.raise})
	default:
		p.writeBatch(now)
	}
}

// writeBatch writes a tail with all waiting claims.
func (p *Partition) writeBatch(now time.Time) {
	t := Tail{epoch: p.epoch, holder: p.spec.Holder, writeID: p.newWriteID()}
	if p.state == Leaving {
		t.holder, p.final = "", true
	}
	p.flight = append(p.flight, p.batch...)
	p.batch = nil
	p.prune(now)
	t.first, t.next = p.next, p.next
	if len(p.segments) > 0 {
		t.first = p.segments[0].n
	}
	t.claims = make([]Hash, 0, len(p.unsealed)+len(p.flight))
	t.claims = append(t.claims, p.unsealed...)
	for _, w := range p.flight {
		t.claims = append(t.claims, w.hash)
	}
	value, err := t.encode()
	if err != nil {
		p.release(now, err.Error())
		return
	}
	p.writeID = t.writeID
	p.tailNext = now.Add(writeGap)
	p.tailCall = p.send(now, Action{
		kind: Swap, key: TailKey(p.spec.Partition), revision: p.revision, value: value,
	})
}

// prune drops the claims and segments that need not be in the tail any more:
// expired keys, and keys that did not run. A key that is pending again is among
// the waiting claims. While a seal is under way its claims stay in place.
func (p *Partition) prune(now time.Time) {
	for len(p.segments) > 0 && now.Sub(p.segments[0].at) >= p.spec.Retention {
		p.segments = p.segments[1:]
	}
	if p.seal != nil {
		return
	}
	keep := p.unsealed[:0]
	for _, h := range p.unsealed {
		if e, ok := p.table.keys[h]; ok && e.state != pending {
			keep = append(keep, h)
		}
	}
	p.unsealed = keep
}

// tailWritten takes the answer to a write of the tail.
func (p *Partition) tailWritten(now time.Time, ev Event) {
	switch {
	case p.state == Leaving && p.final:
		// Whatever the answer is, the next owner raises the epoch.
		if ev.status == OK {
			p.commit(ev.revision)
		}
		p.release(now, "abdicated")
	case ev.status != OK:
		// A conflict is read back too: an earlier write of ours may have
		// arrived late.
		p.resolving, p.tailNext = true, now
	case p.state == Raising:
		p.taken(now, ev.revision)
	default:
		p.commit(ev.revision)
	}
}

// commit starts the claims of the last write, which is durable.
func (p *Partition) commit(revision int64) {
	p.revision, p.resolving, p.fails = revision, false, 0
	for _, w := range p.flight {
		p.unsealed = append(p.unsealed, w.hash)
		p.table.set(w.hash, running)
		p.table.tickets[w.hash] = w.ticket
		p.out = append(p.out, Action{kind: Run, hash: w.hash, ticket: w.ticket})
	}
	p.flight = nil
}

// tailRead takes the tail, for a takeover or to resolve a write.
func (p *Partition) tailRead(now time.Time, ev Event) {
	var t Tail
	if ev.status == OK {
		var err error
		if t, err = DecodeTail(ev.value); err != nil {
			p.release(now, err.Error())
			return
		}
	} else if ev.status != NotFound {
		p.tailNext = now.Add(p.retryWait())
		return
	}
	switch p.state {
	case Reading:
		p.raiseFrom(now, t, ev.revision)
	case Raising:
		p.raiseResolved(now, t, ev.revision)
	default:
		p.batchResolved(now, t, ev.revision)
	}
}

// batchResolved takes the tail after a write whose result was not known.
func (p *Partition) batchResolved(now time.Time, t Tail, revision int64) {
	switch {
	case t.epoch != p.epoch || !strings.HasPrefix(t.writeID, p.tenure):
		p.release(now, "another daemon has taken the partition over")
	case t.writeID == p.writeID:
		p.commit(revision)
	default:
		// An earlier write of ours; the last one is repeated, and if it still
		// arrives one of the two conflicts.
		p.resolving, p.revision = false, revision
		if p.state == Leaving {
			p.refuse(p.flight, "partition moves to another daemon")
			p.flight = nil
		}
	}
}
