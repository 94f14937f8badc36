package link_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/admit"
	"trefoilthread/core/link"
	"trefoilthread/core/types"
)

const (
	ms    = time.Millisecond
	speed = 11 // Mbit/s: 1,375 bytes take 1 ms
	perMs = 1375
)

var begin = time.Unix(1000, 0)

// callAt returns an upload that has come at a time.
func callAt(at time.Time, id int, worth float64) types.Call {
	c, err := types.NewCall(types.CallSpec{
		ID: fmt.Sprint(id), Service: "s", Class: types.NewClass(false, types.AtMostOnce), Kind: "upload",
		Goal: at.Add(800 * ms), Deadline: at.Add(2 * time.Second), Worth: worth,
	})
	if err != nil {
		panic(err)
	}
	return c
}

func newGate(slots int) *admit.Gate {
	return admit.New(admit.Options{Slots: slots, UrgentShare: -1})
}

// offers adds offers of bodies that take the given times on the link.
func offers(l *link.Link, g *admit.Gate, times ...int) (ids []link.ID) {
	for i, n := range times {
		c := callAt(begin, i, 1)
		ids = append(ids, l.Add(link.Offer{Call: c, Bytes: n * perMs, Value: g.Value(begin, c)}))
	}
	return ids
}

// Guards against bodies that fill the link together, and against a long one that is never
// granted.
func TestBodiesUnderWayAreBounded(t *testing.T) {
	for _, c := range []struct {
		times   []int // of the bodies on the link, in ms
		granted int
		start   time.Duration // of the last granted one
	}{
		{[]int{44, 44}, 1, 0},
		{[]int{500}, 1, 0},
		{[]int{10, 10, 20, 1}, 3, 20 * ms},
		{[]int{6, 60, 1}, 2, 6 * ms}, // the first is nearly there
	} {
		is := is.New(t)
		g, l := newGate(9), link.New(link.Options{Mbit: speed})
		offers(l, g, c.times...)
		events := l.Decide(begin, g)
		is.Equal(len(events), c.granted)
		is.Equal(events[len(events)-1].Start.Round(ms), c.start)
		is.Equal(l.Waiting(), len(c.times)-c.granted)
		is.Equal(g.Report().Queued, c.granted) // the gate reckons with them
		is.Equal(len(l.Decide(begin, g)), 0)
	}
}

// Guards against link time that is kept for a body that is there, was withdrawn, or stalls
// midway.
func TestLinkTimeIsReleased(t *testing.T) {
	for name, release := range map[string]func(l *link.Link, id link.ID) time.Time{
		"complete": func(l *link.Link, id link.ID) time.Time {
			l.Progress(begin, id, 36*perMs)
			return begin
		},
		"ended": func(l *link.Link, id link.ID) time.Time {
			if !l.End(id) {
				panic("not granted")
			}
			return begin
		},
		"unused": func(*link.Link, link.ID) time.Time { return begin.Add(100 * ms) },
		"stalled": func(l *link.Link, id link.ID) time.Time {
			l.Progress(begin.Add(50*ms), id, perMs)
			return begin.Add(150 * ms)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, l := newGate(9), link.New(link.Options{Mbit: speed})
			ids := offers(l, g, 44, 44)
			is.Equal(len(l.Decide(begin, g)), 1)
			at := release(l, ids[0])
			is.Equal(len(l.Decide(at.Add(-ms), g)), map[bool]int{true: 1}[name == "complete" || name == "ended"])
			l.Decide(at, g)
			is.Equal(l.Waiting(), 0)
		})
	}
}

// Guards against bodies that are sent and then refused: an offer without a place at the gate
// waits or is refused, in the order of the gate, and one that can't be in time is refused at
// once.
func TestOffersNeedAPlace(t *testing.T) {
	is := is.New(t)
	g, l := newGate(1), link.New(link.Options{Mbit: speed})
	first, _ := g.Offer(begin, callAt(begin, 0, 1))
	g.Done(begin, first, 140*ms, false)
	running, v := g.Offer(begin, callAt(begin, 0, 1))
	is.Equal(v, admit.Run)
	low := l.Add(link.Offer{Call: callAt(begin, 1, 1), Bytes: 20 * perMs, Value: 1})
	high := l.Add(link.Offer{Call: callAt(begin, 2, 2), Bytes: 20 * perMs, Value: 2})
	slow := l.Add(link.Offer{Call: callAt(begin, 3, 3), Bytes: 20 * perMs, Value: 3, SenderMbit: 0.1})
	events := l.Decide(begin, g)
	is.Equal(events[0].ID, slow) // its body takes 2.2 s
	is.True(!events[0].Granted && events[0].Reason != "")
	is.Equal(len(events), 1) // the slot isn't free when a body could be there
	is.Equal(len(g.Done(begin.Add(140*ms), running, 140*ms, false)), 0)
	events = l.Decide(begin.Add(140*ms), g)
	is.Equal(events, []link.Event{{ID: high, Granted: true}})
	is.True(!l.End(low))
	is.Equal(l.Waiting(), 0)
}

// Guards against a call whose body has come and that waits behind others, is displaced by
// them or is refused for its goal.
func TestArrivedCallsComeFirst(t *testing.T) {
	is := is.New(t)
	g := admit.New(admit.Options{Slots: 1, Queue: 1, UrgentShare: -1})
	running, _ := g.Offer(begin, callAt(begin, 0, 1))
	arrived, v := g.Arrive(begin, callAt(begin, 1, 1))
	is.Equal(v, admit.Wait)
	_, v = g.Offer(begin, callAt(begin, 2, 100))
	is.Equal(v, admit.Refuse)
	late := begin.Add(time.Second) // its goal is over
	is.Equal(len(g.Tick(late)), 0)
	events := g.Done(late, running, 140*ms, false)
	is.Equal(len(events), 1)
	is.Equal(events[0], admit.Event{Ticket: arrived, Verdict: admit.Run})

	g = newGate(1)
	running, _ = g.Offer(begin, callAt(begin, 0, 1))
	_, v = g.Offer(begin, callAt(begin, 1, 100))
	is.Equal(v, admit.Wait)
	arrived, _ = g.Arrive(begin, callAt(begin, 2, 1))
	events = g.Done(begin.Add(140*ms), running, 140*ms, false)
	is.Equal(events, []admit.Event{{Ticket: arrived, Verdict: admit.Run}})
}

// Guards against parts that fill the queue of a link, wake a sender more often than its link
// needs, or send more than the link takes.
func TestPacing(t *testing.T) {
	for _, c := range []struct {
		mbit     float64
		maxWakes int // in the 100 parts below
		maxAhead time.Duration
	}{
		{11, 100, 8 * ms}, // a part takes 6 ms
		{100, 25, 6 * ms},
		{0, 0, 0},
	} {
		is := is.New(t)
		p, now, wakes := link.NewPacer(c.mbit), begin, 0
		free := begin
		for range 100 {
			if d := p.Reserve(now, link.PartSize); d > 0 {
				now, wakes = now.Add(d), wakes+1
			}
			if c.mbit > 0 {
				if free.Before(now) {
					free = now
				}
				free = free.Add(time.Duration(link.PartSize * 8 / c.mbit * 1000))
				is.True(free.Sub(now) <= c.maxAhead)
			}
		}
		is.True(wakes <= c.maxWakes)
		is.True(c.mbit == 0 || free.Sub(begin).Seconds() > 0.99*100*link.PartSize*8/c.mbit/1e6)
	}
}
