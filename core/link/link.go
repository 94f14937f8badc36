package link

import (
	"slices"
	"time"

	"trefoilthread/core/admit"
)

const (
	defaultMaxTransit = 40 * time.Millisecond
	defaultLead       = 8 * time.Millisecond
	defaultQuiet      = 100 * time.Millisecond

	// UnusedTime is the time without a byte of a granted body after which its transfer ends.
	UnusedTime = 500 * time.Millisecond
	// maxWaiting bounds the offers that wait. 64 bodies of 60 kB take 2.8 s on a link of
	// 11 Mbit/s.
	maxWaiting = 64
)

// Options configure a Link. A duration that is zero has its default.
type Options struct {
	// Mbit is the speed of the link in Mbit/s, 0 if unknown: there is always room then.
	Mbit float64
	// MaxTransit is the time of the link that the bodies under way may take; default 40 ms.
	MaxTransit time.Duration
	// Lead is the time of the link that is left of the bodies under way when the next one
	// may be granted, however long it is; default 8 ms, the longest round trip.
	Lead time.Duration
	// Quiet is the time without a byte of a granted body after which Busy and Demand no longer
	// count it; default 100 ms.
	Quiet time.Duration
}

// Link is the network link of a VM over which bodies come.
type Link struct {
	opts    Options
	lastID  ID
	waiting []*offer // in the order of their grants
	transit map[ID]*offer
}

// New returns a link without offers.
func New(o Options) *Link {
	if o.MaxTransit <= 0 {
		o.MaxTransit = defaultMaxTransit
	}
	if o.Lead <= 0 {
		o.Lead = defaultLead
	}
	if o.Quiet <= 0 {
		o.Quiet = defaultQuiet
	}
	return &Link{opts: o, transit: make(map[ID]*offer)}
}

// Add enters an offer. Decide tells what becomes of it.
func (l *Link) Add(o Offer) ID {
	l.lastID++
	e := &offer{Offer: o, id: l.lastID, left: o.Bytes}
	at, _ := slices.BinarySearchFunc(l.waiting, e, func(a, b *offer) int {
		if a.precedes(b) {
			return -1
		}
		return 1
	})
	l.waiting = slices.Insert(l.waiting, at, e)
	return e.id
}

// Waiting returns the number of offers that are neither granted nor refused.
func (l *Link) Waiting() int { return len(l.waiting) }

// InTransit returns the number of bodies under way.
func (l *Link) InTransit() int { return len(l.transit) }

// Busy returns the time of the link that the bodies under way still take.
func (l *Link) Busy(now time.Time) time.Duration {
	var d time.Duration
	for _, o := range l.transit {
		if now.Before(o.quiet) {
			d += TransferTime(o.left, l.opts.Mbit)
		}
	}
	return d
}

// Demand returns the time of the link that the bodies under way and the waiting offers take.
func (l *Link) Demand(now time.Time) time.Duration {
	d := l.Busy(now)
	for _, o := range l.waiting {
		d += TransferTime(o.Bytes, l.opts.Mbit)
	}
	return d
}

// Decide grants and refuses waiting offers. The gate counts the granted ones as expected.
func (l *Link) Decide(now time.Time, g *admit.Gate) []Event {
	var events []Event
	busy := l.Busy(now)
	ahead, blocked := busy, false
	kept := l.waiting[:0]
	for i, o := range l.waiting {
		v, reason := g.Forecast(now, o.Call, ahead+l.transferTime(o))
		if v != admit.Refuse && i >= maxWaiting {
			v, reason = admit.Refuse, "too many bodies wait for the link"
		}
		own := TransferTime(o.Bytes, l.opts.Mbit)
		switch {
		case v == admit.Refuse:
			events = append(events, Event{ID: o.id, Reason: reason})
			continue
		case v == admit.Run && !blocked && (busy <= l.opts.Lead || busy+own <= l.opts.MaxTransit):
			g.Expect()
			o.quiet = now.Add(busy + l.opts.Quiet)
			l.transit[o.id] = o
			events = append(events, Event{ID: o.id, Granted: true, Start: busy})
			busy += own
		default:
			// Offers are granted in order: a later body would use the time on the link that
			// this one waits for.
			blocked = true
			kept = append(kept, o)
		}
		ahead += own
	}
	clear(l.waiting[len(kept):])
	l.waiting = kept
	return events
}

// RefuseWaiting refuses all offers that wait, for a reason. Bodies under way go on.
func (l *Link) RefuseWaiting(reason string) []Event {
	var events []Event
	for _, o := range l.waiting {
		events = append(events, Event{ID: o.id, Reason: reason})
	}
	l.waiting = nil
	return events
}

// transferTime returns the time that the body takes on the slower of the two links.
func (l *Link) transferTime(o *offer) time.Duration {
	return TransferTime(o.Bytes, Slower(l.opts.Mbit, o.SenderMbit))
}

// Progress counts n bytes of a granted body that have come.
func (l *Link) Progress(now time.Time, id ID, n int) {
	if o := l.transit[id]; o != nil {
		o.left = max(0, o.left-n)
		o.quiet = now.Add(l.opts.Quiet)
	}
}

// End removes an offer: its body is complete or won't come, or it was withdrawn. It reports
// whether the offer had been granted.
func (l *Link) End(id ID) bool {
	if _, ok := l.transit[id]; ok {
		delete(l.transit, id)
		return true
	}
	l.waiting = slices.DeleteFunc(l.waiting, func(o *offer) bool { return o.id == id })
	return false
}
