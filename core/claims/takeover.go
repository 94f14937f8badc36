package claims

import "time"

// segmentInUse is a segment that the tail refers to. Its claims are in
// memory until one retention time after at, so it need not be read after that.
type segmentInUse struct {
	n  uint64
	at time.Time
}

// segmentRead is a segment that has to be read at a takeover.
type segmentRead struct {
	n         uint64
	call      call
	notBefore time.Time
}

// startTakeover prepares the write of tail t with the next epoch and this daemon
// as its holder.
func (p *Partition) startTakeover(now time.Time, t Tail, revision int64) {
	p.newWriteIDPrefix()
	t.epoch++
	t.holder, t.writeID = p.spec.Holder, p.newWriteID()
	value, err := t.encode()
	if err != nil {
		p.release(now, err.Error())
		return
	}
	p.takeoverTail, p.takeoverValue, p.writeID, p.revision = t, value, t.writeID, revision
	p.state, p.tailNotBefore = RaisingEpoch, now
}

// resolveTakeover decides by the tail t whether the takeover, whose result was
// unknown or a conflict, took effect. If the tail is unchanged the same write is
// repeated; its write id identifies it, however often it is sent.
func (p *Partition) resolveTakeover(now time.Time, t Tail, revision int64) {
	switch {
	case t.writeID == p.writeID:
		p.finishTakeover(now, revision)
	case revision == p.revision:
		p.needsReadBack, p.tailNotBefore = false, now.Add(p.retryDelay())
	default:
		p.release(now, "another daemon has taken the partition over")
	}
}

// finishTakeover starts to read the segments after the new epoch is confirmed and
// the former owner is fenced. Claims found in the store may have run, because it
// is not known whether the former owner refused them.
func (p *Partition) finishTakeover(now time.Time, revision int64) {
	t := p.takeoverTail
	p.epoch, p.revision, p.needsReadBack, p.failures = t.epoch, revision, false, 0
	p.table = newTable(now, p.spec)
	p.unsealed, p.nextSegment = t.claims, t.next
	p.addUnknown(now, t.claims)
	p.state = LoadingSegments
	for n := t.first; n < t.next; n++ {
		p.segments = append(p.segments, segmentInUse{n: n, at: now})
		p.segmentReads = append(p.segmentReads, &segmentRead{n: n})
	}
}

// addUnknown adds keys whose outcome is unknown.
func (p *Partition) addUnknown(now time.Time, claims []Hash) {
	for _, h := range claims {
		p.table.put(now, h, unknown)
	}
}

// advanceSegmentReads reads the next segments. The partition becomes Active after
// the last one.
func (p *Partition) advanceSegmentReads(now time.Time) {
	if p.state != LoadingSegments {
		return
	}
	if len(p.segmentReads) == 0 {
		p.state = Active
		return
	}
	for _, l := range p.segmentReads[:min(maxSegmentReads, len(p.segmentReads))] {
		if l.call.op == 0 && !now.Before(l.notBefore) {
			l.call = p.send(now, Action{kind: Read, key: SegmentKey(p.spec.Partition, l.n)})
		}
	}
}

// handleSegmentRead processes the result of reading a segment. A segment that is
// not found has expired. One that cannot be decoded keeps the partition from
// becoming Active, because its claims may have run.
func (p *Partition) handleSegmentRead(now time.Time, ev Event) {
	for i, l := range p.segmentReads {
		if l.call.op != ev.op {
			continue
		}
		l.call.op = 0
		if ev.status == OK {
			s, err := decodeSegment(ev.value)
			if err != nil {
				p.reason = err.Error()
				l.notBefore = now.Add(maxRetryDelay)
				return
			}
			p.addUnknown(now, s.claims)
		} else if ev.status != NotFound {
			l.notBefore = now.Add(p.retryDelay())
			return
		}
		p.segmentReads = append(p.segmentReads[:i], p.segmentReads[i+1:]...)
		return
	}
}
