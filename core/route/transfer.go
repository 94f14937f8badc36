package route

import "time"

const (
	// bytesPerMbit converts the unit of links.
	bytesPerMbit = 1e6 / 8
	// distanceBytes is the length of a body in bytes that the distance to another data
	// centre allows for. Traffic between data centres is paid for by the byte, so a longer
	// body counts as a longer distance.
	distanceBytes = 8 << 10
	// longTransfer is the time on the link above which a body waits for others. Daemons
	// offer such bodies before they send them (core/link).
	longTransfer = 5 * time.Millisecond
)

// transferTime returns the one-way latency to m for the call to be placed, with the time
// that its body takes on the slower one of the two links, after the bodies that were on their
// way to the target at its last report. They hold up no short body.
func (p *Picker) transferTime(now time.Duration, m *member) time.Duration {
	d := m.distance
	if p.body > distanceBytes {
		d = d * time.Duration(p.body) / distanceBytes
	}
	link := m.target.Link()
	if p.opts.Link > 0 {
		link = min(link, p.opts.Link)
	}
	if link > 0 {
		own := time.Duration(float64(p.body) / (link * bytesPerMbit) * float64(time.Second))
		if d += own; own > longTransfer {
			d += max(0, m.linkFree-now)
		}
	}
	return d
}
