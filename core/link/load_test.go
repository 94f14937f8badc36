package link_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/admit"
	"trefoilthread/core/link"
)

const (
	oneWay     = 4 * ms // between two VMs
	work       = 140 * ms
	shortBytes = 1000
)

// event is something that happens in a world.
type event struct {
	at time.Time
	do func()
}

// world is a target with its gate, and the link of its VM, a queue of bytes.
type world struct {
	now     time.Time
	next    []event   // latest first
	free    time.Time // when the link has passed on all that came
	gate    *admit.Gate
	link    *link.Link
	uploads map[link.ID]upload
	offered bool // bodies are offered first

	short, long                  []time.Duration // time on the way, of short calls and of uploads
	served, refused, refusedLate int             // uploads; those refused after their body had come
}

type upload struct {
	bytes int
	at    time.Time
	id    int
}

func (w *world) after(d time.Duration, do func()) { w.plan(w.now.Add(d), do) }

func (w *world) plan(at time.Time, do func()) {
	i, _ := slices.BinarySearchFunc(w.next, at, func(e event, at time.Time) int { return at.Compare(e.at) })
	w.next = slices.Insert(w.next, i, event{at, do})
}

// arrive puts n bytes on the link and calls do when they have passed.
func (w *world) arrive(n int, do func()) {
	if w.free.Before(w.now) {
		w.free = w.now
	}
	w.free = w.free.Add(time.Duration(n) * ms / perMs)
	w.after(w.free.Sub(w.now), do)
}

// send sends a body in parts that p spaces, from the given byte on.
func (w *world) send(p *link.Pacer, u upload, from int, came func(n int)) {
	if from >= u.bytes {
		return
	}
	n := min(link.PartSize, u.bytes-from)
	w.after(p.Reserve(w.now, n), func() {
		w.after(oneWay, func() { w.arrive(n, func() { came(n) }) })
		w.send(p, u, from+n, came)
	})
}

func (w *world) upload(u upload) {
	if !w.offered {
		left := u.bytes
		w.send(link.NewPacer(100), u, 0, func(n int) {
			if left -= n; left == 0 {
				w.long = append(w.long, w.now.Sub(u.at))
				t, v := w.gate.Offer(w.now, callAt(u.at, u.id, 1))
				w.enter(t, v)
			}
		})
		return
	}
	w.after(oneWay, func() {
		w.arrive(shortBytes, func() {
			c := callAt(u.at, u.id, 1)
			w.uploads[w.link.Add(link.Offer{Call: c, Bytes: u.bytes, SenderMbit: 100, Value: w.gate.Value(w.now, c)})] = u
			w.decide()
		})
	})
}

func (w *world) decide() {
	for _, ev := range w.link.Decide(w.now, w.gate) {
		u := w.uploads[ev.ID]
		if !ev.Granted {
			w.refused++
			continue
		}
		left := u.bytes
		w.after(oneWay+ev.Start, func() {
			w.send(link.NewPacer(speed), u, 0, func(n int) {
				w.link.Progress(w.now, ev.ID, n)
				if left -= n; left == 0 {
					w.long = append(w.long, w.now.Sub(u.at))
					w.link.End(ev.ID)
					w.gate.Unexpect()
					t, v := w.gate.Arrive(w.now, callAt(u.at, u.id, 1))
					w.enter(t, v)
				}
				w.decide()
			})
		})
	}
}

// enter handles a call at the gate whose body is there.
func (w *world) enter(t admit.Ticket, v admit.Verdict) {
	switch v {
	case admit.Run:
		w.after(work, func() {
			w.served++
			w.deliver(w.gate.Done(w.now, t, work, false))
			w.decide()
		})
	case admit.Refuse:
		w.refused, w.refusedLate = w.refused+1, w.refusedLate+1
	}
	w.deliver(w.gate.Pending())
}

func (w *world) deliver(events []admit.Event) {
	for _, ev := range events {
		w.enter(ev.Ticket, ev.Verdict)
	}
}

// play runs two minutes of short calls and of uploads with bodies of 60 kB in the mean.
func play(perSecond float64, offered bool) *world {
	w := &world{
		now: begin, gate: newGate(9), link: link.New(link.Options{Mbit: speed}),
		uploads: make(map[link.ID]upload), offered: offered,
	}
	const sigma = 0.8
	rng := rand.New(rand.NewPCG(1, 2))
	for at := begin; at.Before(begin.Add(2 * time.Minute)); {
		at = at.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		n := int(60_000 * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2))
		w.plan(at, func() { w.upload(upload{bytes: n, at: at, id: len(w.uploads)}) })
		w.plan(at.Add(time.Duration(rng.Float64()*float64(time.Second))), func() {
			sent := w.now
			w.arrive(shortBytes, func() { w.short = append(w.short, w.now.Sub(sent)) })
		})
	}
	for tick := begin; tick.Before(begin.Add(2 * time.Minute)); tick = tick.Add(20 * ms) {
		w.plan(tick, func() { w.deliver(w.gate.Tick(w.now)); w.decide() })
	}
	for len(w.next) > 0 {
		ev := w.next[len(w.next)-1]
		w.next = w.next[:len(w.next)-1]
		w.now = ev.at
		ev.do()
	}
	return w
}

func quantile(all []time.Duration, q float64) time.Duration {
	slices.Sort(all)
	return all[int(q*float64(len(all)-1))]
}

func (w *world) String() string {
	return fmt.Sprintf("short calls %v, p90 %v; uploads on the way %v, p90 %v; served %d, refused %d, of these %d after their body",
		quantile(w.short, 0.5).Round(ms/10), quantile(w.short, 0.9).Round(ms/10),
		quantile(w.long, 0.5).Round(ms), quantile(w.long, 0.9).Round(ms), w.served, w.refused, w.refusedLate)
}

// Guards against short calls that wait behind bodies from many senders, and against bodies
// that are sent and then refused, with a link that is used to 0.4, to 0.75 and beyond what
// it carries.
func TestShortCallsBesideUploads(t *testing.T) {
	for _, perSecond := range []float64{9, 17, 30} {
		is := is.New(t)
		without, with := play(perSecond, false), play(perSecond, true)
		t.Logf("%g uploads a second, whole: %v", perSecond, without)
		t.Logf("%g uploads a second, offered: %v", perSecond, with)
		is.True(quantile(without.short, 0.9) > 30*ms) // else the load shows nothing
		is.True(quantile(with.short, 0.5) < 10*ms)
		is.True(quantile(with.short, 0.9) < 30*ms)
		is.Equal(with.refusedLate, 0)
		is.True(with.served >= without.served*98/100)
		is.Equal(with.link.Waiting()+with.link.InTransit(), 0)
		is.True(with.gate.Idle())
	}
}
