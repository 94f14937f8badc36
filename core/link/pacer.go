package link

import "time"

const (
	// maxAhead is the time of the link for which bytes may be written ahead of it, so that a
	// fast link needs no wake-up for each part.
	maxAhead = 4 * time.Millisecond
	// minAhead is what is left of that when the next part is written, so that the link
	// isn't idle if its sender wakes up late.
	minAhead = time.Millisecond
	// payloadShare is the share of a link's speed at which parts are written. The rest is
	// for the headers of packets and for short messages.
	payloadShare = 0.95
)

// Pacer spaces the parts of bodies on a link. The zero Pacer has an unknown link, on which
// nothing waits.
type Pacer struct {
	mbit float64
	free time.Time // when the link has sent all parts so far
}

// NewPacer returns a pacer for a link with the given speed in Mbit/s, 0 if unknown.
func NewPacer(mbit float64) *Pacer { return &Pacer{mbit: mbit} }

// Reserve counts a part of n bytes and returns how long it has to wait.
func (p *Pacer) Reserve(now time.Time, n int) time.Duration {
	if p.mbit <= 0 {
		return 0
	}
	if p.free.Before(now) {
		p.free = now
	}
	ahead := p.free.Sub(now)
	p.free = p.free.Add(TransferTime(n, p.mbit*payloadShare))
	if ahead <= maxAhead {
		return 0
	}
	return ahead - minAhead
}
