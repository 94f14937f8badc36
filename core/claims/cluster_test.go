package claims_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"trefoilthread/core/claims"
	"trefoilthread/core/types"
)

const retention, claimTime = time.Hour, 2 * time.Second

// fataler is a *testing.T or *rapid.T.
type fataler interface{ Fatalf(string, ...any) }

// claimID identifies one claim: the daemon and its ticket.
type claimID struct {
	holder types.TargetID
	number uint64
}

// request is a store call of one process. Its answer goes only to the Partition
// that made it.
type request struct {
	claims.Action
	from *claims.Partition
}

// owner is a daemon's process that owns the partition or may take it over.
type owner struct {
	id             types.TargetID
	p              *claims.Partition
	requests       []request      // on the way to the store
	answers        []claims.Event // on the way back from the store
	runningTickets map[claims.Hash]uint64
	paused         bool
}

// cluster simulates several daemons with one partition and one store, and checks
// that no key runs twice.
type cluster struct {
	t         fataler
	now       time.Time
	store     *fakeStore
	owners    []*owner
	processes int
	outage    bool
	waiting   map[claimID]claims.Hash
	ended     map[claimID]bool // run or refused
	lastRun   map[claims.Hash]time.Time
	runs      int
	refusals  int
}

func newCluster(t fataler, n int) *cluster {
	w := &cluster{
		t: t, now: time.Unix(1000, 0), store: newFakeStore(), waiting: map[claimID]claims.Hash{},
		ended: map[claimID]bool{}, lastRun: map[claims.Hash]time.Time{},
	}
	for range n {
		o := &owner{}
		w.start(o)
		w.owners = append(w.owners, o)
	}
	return w
}

// start replaces the process of o by a new one, as after a crash. Calls on their
// way still reach the store.
func (w *cluster) start(o *owner) {
	w.processes++
	o.id = types.TargetID(fmt.Sprintf("d%d", w.processes))
	o.p = claims.NewPartition(w.now, claims.Spec{
		Partition: 3, Holder: o.id, Seed: [2]uint64{uint64(w.processes), 5}, Retention: retention, SegmentSize: 3,
		MaxResponseBytes: 64, ClaimTimeout: claimTime,
	})
	o.answers, o.runningTickets = nil, map[claims.Hash]uint64{}
}

func (w *cluster) step(o *owner, ev claims.Event) {
	for _, a := range o.p.Step(w.now, ev) {
		tk := claimID{o.id, a.Ticket()}
		switch a.Kind() {
		case claims.Run:
			w.endClaim(tk, a.Hash())
			w.run(o, a)
		case claims.Refuse:
			w.endClaim(tk, a.Hash())
			w.refusals++
		default:
			o.requests = append(o.requests, request{a, o.p})
		}
	}
}

// endClaim fails if a claim is decided twice: run, refused, or both.
func (w *cluster) endClaim(tk claimID, h claims.Hash) {
	if w.ended[tk] || w.waiting[tk] != h {
		w.t.Fatalf("claim %v of %x ended twice", tk, h[:2])
	}
	w.ended[tk] = true
}

// run fails if the key ran before within its retention, or if its claim was
// never durable in the epoch of the owner.
func (w *cluster) run(o *owner, a claims.Action) {
	h := a.Hash()
	if last, ok := w.lastRun[h]; ok && w.now.Sub(last) < retention-claimTime {
		w.t.Fatalf("key %x ran twice, %v apart", h[:2], w.now.Sub(last))
	}
	durable := false
	for _, t := range w.store.tails {
		for _, c := range t.Claims() {
			durable = durable || c == h && t.Epoch() == o.p.Epoch() && t.Holder() == o.id
		}
	}
	if !durable {
		w.t.Fatalf("key %x runs at %s before its claim is durable", h[:2], o.id)
	}
	w.lastRun[h] = w.now
	w.runs++
	o.runningTickets[h] = a.Ticket()
}

func (w *cluster) claim(o *owner, h claims.Hash) claims.ClaimResult {
	v := o.p.Claim(w.now, h)
	if v.Answer() == claims.Fresh {
		w.waiting[claimID{o.id, v.Ticket()}] = h
	}
	if v.Answer() == claims.Completed && string(v.Response()) != string(h[:]) {
		w.t.Fatalf("key %x got the response of another", h[:2])
	}
	w.step(o, claims.Tick())
	return v
}

// serve executes request i of o. If lost is set, the answer says that the result
// is unknown.
func (w *cluster) serve(o *owner, i int, lost bool) {
	a := o.requests[i]
	o.requests = append(o.requests[:i], o.requests[i+1:]...)
	ev := lostAnswer(a.Action)
	if !w.outage {
		if ok := w.store.execute(w.now, a.Action); !lost {
			ev = ok
		}
	}
	if a.from == o.p {
		o.answers = append(o.answers, ev)
	}
}

// answer passes answer i to the owner. If keep is set, the answer stays and may be
// repeated.
func (w *cluster) answer(o *owner, i int, keep bool) {
	ev := o.answers[i]
	if !keep {
		o.answers = append(o.answers[:i], o.answers[i+1:]...)
	}
	w.step(o, ev)
}

// finish ends the run of h on o, if there is one: 0 without a response, 1 as proved
// not run, otherwise with a response.
func (w *cluster) finish(o *owner, h claims.Hash, how int) {
	tk, ok := o.runningTickets[h]
	if !ok {
		return
	}
	delete(o.runningTickets, h)
	switch how {
	case 0:
		o.p.FinishUnknown(h, tk)
	case 1:
		// The target refused it, so it has not run.
		delete(w.lastRun, h)
		o.p.FinishNotRun(h, tk)
	default:
		o.p.Finish(h, tk, h[:])
	}
	o.p.FinishNotRun(h, tk) // a repeated message has no effect
}

func (w *cluster) advance(d time.Duration) {
	w.now = w.now.Add(d)
	w.store.expire(w.now)
}

// settle advances the time in steps of 100 ms and lets all owners that are not
// paused work without new faults.
func (w *cluster) settle(steps int) {
	for range steps {
		w.advance(100 * time.Millisecond)
		for _, o := range w.owners {
			for len(o.requests) > 0 {
				w.serve(o, 0, false)
			}
			for len(o.answers) > 0 && !o.paused {
				w.answer(o, 0, false)
			}
			if !o.paused {
				w.step(o, claims.Tick())
			}
		}
	}
}

// checkStore fails if an epoch in the store decreased or had two holders.
func (w *cluster) checkStore() {
	holders := map[uint64]types.TargetID{}
	top := uint64(0)
	for _, t := range w.store.tails {
		if t.Epoch() < top {
			w.t.Fatalf("epoch went back from %d to %d", top, t.Epoch())
		}
		top = t.Epoch()
		if h, ok := holders[top]; ok && t.Holder() != "" && h != t.Holder() {
			w.t.Fatalf("epoch %d held by %s and %s", top, h, t.Holder())
		} else if !ok {
			holders[top] = t.Holder()
		}
	}
}

func key(i int) claims.Hash { return claims.KeyHash("rota", fmt.Sprint(i)) }

func (w *cluster) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T) *owner { return rapid.SampledFrom(w.owners).Draw(t, "owner") }
	need := func(t *rapid.T, ok bool) {
		if !ok {
			t.Skip("not possible now")
		}
	}
	ready := func(t *rapid.T) *owner {
		o := pick(t)
		need(t, !o.paused)
		return o
	}
	serve := func(lost bool) func(*rapid.T) {
		return func(t *rapid.T) {
			o := pick(t)
			need(t, len(o.requests) > 0)
			w.serve(o, rapid.IntRange(0, len(o.requests)-1).Draw(t, "i"), lost)
		}
	}
	answer := func(keep bool) func(*rapid.T) {
		return func(t *rapid.T) {
			o := ready(t)
			need(t, len(o.answers) > 0)
			w.answer(o, rapid.IntRange(0, len(o.answers)-1).Draw(t, "i"), keep)
		}
	}
	rarely := func(t *rapid.T) bool { return rapid.IntRange(0, 2).Draw(t, "rarely") == 2 }
	claim := func(t *rapid.T) {
		o := ready(t)
		for _, other := range w.owners { // prefer owners that believe that they own the partition
			if o.p.State() != claims.Active && !other.paused {
				o = other
			}
		}
		w.claim(o, key(rapid.IntRange(0, 29).Draw(t, "key")))
	}
	return map[string]func(*rapid.T){
		"":      func(*rapid.T) { w.checkStore() },
		"claim": claim,
		"work": func(t *rapid.T) { // several claims without new faults
			for range rapid.IntRange(1, 5).Draw(t, "n") {
				claim(t)
			}
			w.settle(2)
		},
		"takeover": func(t *rapid.T) {
			w.step(ready(t), claims.Acquire())
			w.settle(3)
		},
		"serve":     serve(false),
		"serveLost": serve(true),
		"answer":    answer(false),
		"repeat":    answer(true),
		"drop":      func(t *rapid.T) { pick(t).answers = nil },
		"finish": func(t *rapid.T) {
			w.finish(ready(t), key(rapid.IntRange(0, 29).Draw(t, "key")), rapid.IntRange(0, 4).Draw(t, "how"))
		},
		"acquire":  func(t *rapid.T) { w.step(ready(t), claims.Acquire()) },
		"abdicate": func(t *rapid.T) { w.step(ready(t), claims.Release()) },
		"advance": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		},
		"expire": func(t *rapid.T) {
			need(t, rarely(t))
			w.advance(time.Duration(rapid.IntRange(1, 70).Draw(t, "min")) * time.Minute)
		},
		"settle": func(*rapid.T) { w.settle(5) },
		"pause":  func(t *rapid.T) { o := pick(t); o.paused = !o.paused && rarely(t) },
		"outage": func(t *rapid.T) { w.outage = !w.outage && rarely(t) },
		"crash": func(t *rapid.T) {
			need(t, rarely(t))
			w.start(pick(t))
		},
	}
}
