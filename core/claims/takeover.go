package claims

import "time"

// stored is a segment in use. Its claims are in memory until at plus the
// retention time, so it need not be read after that.
type stored struct {
	n  uint64
	at time.Time
}

// load is a segment to be read at a takeover.
type load struct {
	n    uint64
	call call
	next time.Time
}

// raiseFrom starts to raise the epoch of tail t.
func (p *Partition) raiseFrom(now time.Time, t Tail, revision int64) {
	p.newTenure()
	t.epoch++
	t.holder, t.writeID = p.spec.Holder, p.newWriteID()
	value, err := t.encode()
	if err != nil {
		p.release(now, err.Error())
		return
	}
	p.raised, p.raise, p.writeID, p.revision = t, value, t.writeID, revision
	p.state, p.tailNext = Raising, now
}

// raiseResolved takes the tail after a raise whose result was not known. An
// unchanged tail gets the same write again: its write id identifies it, however
// often it is sent.
func (p *Partition) raiseResolved(now time.Time, t Tail, revision int64) {
	switch {
	case t.writeID == p.writeID:
		p.taken(now, revision)
	case revision == p.revision:
		p.resolving, p.tailNext = false, now.Add(p.retryWait())
	default:
		p.release(now, "another daemon has taken the partition over")
	}
}

// taken starts to load the segments of the partition, which is fenced now.
// Claims found in the store may have run: their owner is not known to have
// refused them.
func (p *Partition) taken(now time.Time, revision int64) {
	t := p.raised
	p.epoch, p.revision, p.resolving, p.fails = t.epoch, revision, false, 0
	p.table = newTable(now, p.spec)
	p.unsealed, p.next = t.claims, t.next
	p.found(now, t.claims)
	p.state = Loading
	for n := t.first; n < t.next; n++ {
		p.segments = append(p.segments, stored{n: n, at: now})
		p.loads = append(p.loads, &load{n: n})
	}
}

func (p *Partition) found(now time.Time, claims []Hash) {
	for _, h := range claims {
		p.table.put(now, h, unknown)
	}
}

// advanceLoads reads the next segments. The partition is active after the last.
func (p *Partition) advanceLoads(now time.Time) {
	if p.state != Loading {
		return
	}
	if len(p.loads) == 0 {
		p.state = Active
		return
	}
	for _, l := range p.loads[:min(maxLoads, len(p.loads))] {
		if l.call.op == 0 && !now.Before(l.next) {
			l.call = p.send(now, Action{kind: Read, key: SegmentKey(p.spec.Partition, l.n)})
		}
	}
}

// loadAnswer takes a segment. One that is not found has expired. One that
// cannot be read keeps the partition from becoming active, because its claims
// may have run.
func (p *Partition) loadAnswer(now time.Time, ev Event) {
	for i, l := range p.loads {
		if l.call.op != ev.op {
			continue
		}
		l.call.op = 0
		if ev.status == OK {
			s, err := decodeSegment(ev.value)
			if err != nil {
				p.reason = err.Error()
				l.next = now.Add(lastRetry)
				return
			}
			p.found(now, s.claims)
		} else if ev.status != NotFound {
			l.next = now.Add(p.retryWait())
			return
		}
		p.loads = append(p.loads[:i], p.loads[i+1:]...)
		return
	}
}
