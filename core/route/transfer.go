package route

import (
	"time"

	"trefoilthread/core/link"
)

// distanceBytes is the length of a body in bytes that the distance to another data centre
// allows for. Traffic between data centres is paid for by the byte, so a longer body counts
// as a longer distance.
const distanceBytes = 8 << 10

// transferTime returns the one-way latency to m for the call to be placed, with the time
// that its body takes on the slower one of the two links, after the bodies that were on their
// way to the target at its last report. They hold up no short body, as daemons offer only long
// ones before they send them.
func (p *Picker) transferTime(now time.Duration, m *member) time.Duration {
	d := m.distance
	if p.body > distanceBytes {
		d = d * time.Duration(p.body) / distanceBytes
	}
	if mbit := m.target.Link(); mbit > 0 {
		mbit = link.Slower(mbit, p.opts.Link)
		d += link.TransferTime(p.body, mbit)
		if link.IsLong(p.body, mbit) {
			d += max(0, m.linkFree-now)
		}
	}
	return d
}
