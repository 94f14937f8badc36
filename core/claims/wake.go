package claims

import "time"

// NextWake returns when Step has to be called with Tick if no event comes
// earlier. A time that is not after now means at once.
func (p *Partition) NextWake(now time.Time) time.Time {
	wake := now.Add(time.Minute) // expiry of keys needs no exact time
	take := func(t time.Time) {
		if t.Before(wake) {
			wake = t
		}
	}
	for _, ws := range [][]waiter{p.flight, p.batch} {
		if len(ws) > 0 {
			take(ws[0].at.Add(p.spec.ClaimTime))
		}
	}
	switch {
	case p.tailCall.op != 0:
		take(p.tailCall.sent.Add(callTime))
	case p.tailWork():
		take(p.tailNext)
	}
	if s := p.seal; s != nil {
		if s.call.op != 0 {
			take(s.call.sent.Add(callTime))
		} else {
			take(s.next)
		}
	}
	for _, l := range p.loads[:min(maxLoads, len(p.loads))] {
		if l.call.op != 0 {
			take(l.call.sent.Add(callTime))
		} else {
			take(l.next)
		}
	}
	return wake
}
