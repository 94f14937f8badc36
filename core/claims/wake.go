package claims

import "time"

// NextWake returns the time at which Step has to be called with Tick if no other
// event occurs earlier. A time that is not after now means immediately.
func (p *Partition) NextWake(now time.Time) time.Time {
	wake := now.Add(time.Minute) // keys need not expire on time
	take := func(t time.Time) {
		if t.Before(wake) {
			wake = t
		}
	}
	for _, ws := range [][]pendingClaim{p.inFlight, p.queued} {
		if len(ws) > 0 {
			take(ws[0].at.Add(p.spec.ClaimTimeout))
		}
	}
	switch {
	case p.tailCall.op != 0:
		take(p.tailCall.sent.Add(callTimeout))
	case p.needsTailCall():
		take(p.tailNotBefore)
	}
	if s := p.seal; s != nil {
		if s.call.op != 0 {
			take(s.call.sent.Add(callTimeout))
		} else {
			take(s.notBefore)
		}
	}
	for _, l := range p.segmentReads[:min(maxSegmentReads, len(p.segmentReads))] {
		if l.call.op != 0 {
			take(l.call.sent.Add(callTimeout))
		} else {
			take(l.notBefore)
		}
	}
	return wake
}
