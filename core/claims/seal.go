package claims

import (
	"slices"
	"time"
)

// sealStep is the store call that a seal makes next.
type sealStep uint8

const (
	sealGrant sealStep = iota
	sealCreate
	sealRead
)

// seal is the copying of the oldest unsealed claims into a segment. Tail writes
// continue meanwhile and still contain these claims.
type seal struct {
	claims    []Hash
	n         uint64
	lease     int64
	writeID   string
	step      sealStep
	call      call
	notBefore time.Time
}

// advanceSeal starts a seal when there are enough unsealed claims, and makes its
// next store call.
func (p *Partition) advanceSeal(now time.Time) {
	if p.state != Active {
		return
	}
	if p.seal == nil {
		if len(p.unsealed) < p.spec.SegmentSize {
			return
		}
		p.seal = &seal{
			claims: slices.Clone(p.unsealed[:p.spec.SegmentSize]), n: p.nextSegment, writeID: p.newWriteID(),
		}
	}
	s := p.seal
	if s.call.op != 0 || now.Before(s.notBefore) {
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

// handleSealAnswer processes the result of a store call of the seal.
func (p *Partition) handleSealAnswer(now time.Time, ev Event) {
	s := p.seal
	s.notBefore = now
	switch s.step {
	case sealGrant:
		if ev.status != OK {
			s.notBefore = now.Add(p.retryDelay())
			return
		}
		s.lease, s.step = ev.lease, sealCreate
	case sealCreate:
		switch ev.status {
		case OK:
			p.finishSeal(now)
		case LeaseGone:
			s.step = sealGrant
		default:
			s.step = sealRead
		}
	default:
		p.resolveSeal(now, ev)
	}
}

// resolveSeal decides by the stored segment whether its creation, whose result was
// unknown or a conflict, took effect. If a former owner has used the number, its
// segment stays and the next number is tried.
func (p *Partition) resolveSeal(now time.Time, ev Event) {
	s := p.seal
	switch ev.status {
	case OK:
		if got, err := decodeSegment(ev.value); err == nil && got.writeID == s.writeID {
			p.finishSeal(now)
			return
		}
		s.n++
		s.step = sealCreate
	case NotFound:
		s.step = sealCreate
	default:
		s.notBefore = now.Add(p.retryDelay())
	}
}

// finishSeal removes the claims of the confirmed segment from those of the next
// tail. Until that is written they are in both records.
func (p *Partition) finishSeal(now time.Time) {
	s := p.seal
	p.seal = nil
	p.unsealed = slices.Clone(p.unsealed[len(s.claims):])
	p.segments = append(p.segments, segmentInUse{n: s.n, at: now})
	p.nextSegment = s.n + 1
}
