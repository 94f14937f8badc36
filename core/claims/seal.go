package claims

import (
	"slices"
	"time"
)

// sealStep is the next call of a seal.
type sealStep uint8

const (
	sealGrant sealStep = iota
	sealCreate
	sealRead
)

// seal copies the oldest unsealed claims into a segment. Tail writes go on
// meanwhile and still hold these claims.
type seal struct {
	claims  []Hash
	n       uint64
	lease   int64
	writeID string
	step    sealStep
	call    call
	next    time.Time
}

// advanceSeal starts a seal when the tail is long enough, and makes its next
// call.
func (p *Partition) advanceSeal(now time.Time) {
	if p.state != Active {
		return
	}
	if p.seal == nil {
		if len(p.unsealed) < p.spec.SealAt {
			return
		}
		p.seal = &seal{
			claims: slices.Clone(p.unsealed[:p.spec.SealAt]), n: p.next, writeID: p.newWriteID(),
		}
	}
	s := p.seal
	if s.call.op != 0 || now.Before(s.next) {
		return
	}
	key := SegmentKey(p.spec.Partition, s.n)
	switch s.step {
	case sealGrant:
		s.call = p.send(now, Action{kind: Grant, ttl: p.spec.Retention})
	case sealCreate:
		value, err := segment{writeID: s.writeID, claims: s.claims}.encode()
		if err != nil {
			p.seal = nil
			return
		}
		s.call = p.send(now, Action{kind: Swap, key: key, value: value, lease: s.lease})
	default:
		s.call = p.send(now, Action{kind: Read, key: key})
	}
}

func (p *Partition) sealAnswer(now time.Time, ev Event) {
	s := p.seal
	s.next = now
	switch s.step {
	case sealGrant:
		if ev.status != OK {
			s.next = now.Add(p.retryWait())
			return
		}
		s.lease, s.step = ev.lease, sealCreate
	case sealCreate:
		switch ev.status {
		case OK:
			p.sealed(now)
		case LeaseGone:
			s.step = sealGrant
		default:
			s.step = sealRead
		}
	default:
		p.sealResolved(now, ev)
	}
}

// sealResolved takes the segment after a creation whose result was not known. A
// number that a former owner has used is left to it.
func (p *Partition) sealResolved(now time.Time, ev Event) {
	s := p.seal
	switch ev.status {
	case OK:
		if got, err := decodeSegment(ev.value); err == nil && got.writeID == s.writeID {
			p.sealed(now)
			return
		}
		s.n++
		s.step = sealCreate
	case NotFound:
		s.step = sealCreate
	default:
		s.next = now.Add(p.retryWait())
	}
}

// sealed lets the next tail leave out the claims of the segment. Until then they
// stand in both.
func (p *Partition) sealed(now time.Time) {
	s := p.seal
	p.seal = nil
	p.unsealed = slices.Clone(p.unsealed[len(s.claims):])
	p.segments = append(p.segments, stored{n: s.n, at: now})
	p.next = s.n + 1
}
