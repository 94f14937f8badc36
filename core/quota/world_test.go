package quota_test

import (
	"slices"
	"sort"
	"time"

	"trefoilthread/core/quota"
	"trefoilthread/core/types"
)

const customer types.CustomerName = "acme"

// world is a deployment whose messages, pauses and knowledge of the store the tests decide.
type world struct {
	now     time.Time
	limit   quota.Limit
	centres []types.DataCentre
	records map[string]types.DataCentre // in the store
	agents  []*agent
	events  []event // in the order of their times
	// fate returns the delays after which a message arrives, none if it is lost.
	fate    func(from, to *agent) []time.Duration
	granted []time.Time // each token, when it was granted
	ran     []time.Time // each request that ran
	refused []time.Time // over the quota
	noOwner []time.Time
	asks    int
}

type event struct {
	at time.Time
	do func()
}

// agent is a daemon. Its steady clock stands still while it is suspended.
type agent struct {
	w         *world
	name      string
	dc        types.DataCentre
	dir       *quota.Directory
	owner     *quota.Owner
	asker     *quota.Asker
	silent    *quota.Silent
	known     time.Time     // its knowledge of the store is of then
	suspended time.Duration // in all
	resumes   time.Time     // nothing happens here before
	inbox     []func()      // what came meanwhile
	since     time.Time     // its record is in the store since then
	isDead    bool
	isCut     bool // from the store
	waiting   int  // requests
	asked     int  // number of the ask in flight, 0 if there is none
	askNumber int
}

func newWorld(n int, limit quota.Limit) *world {
	w := &world{now: time.Unix(1e9, 0), limit: limit, records: make(map[string]types.DataCentre)}
	for i := range n {
		w.centres = append(w.centres, types.DataCentre('a'+rune(i)))
	}
	w.fate = func(from, to *agent) []time.Duration {
		if from.dc == to.dc {
			return []time.Duration{time.Millisecond}
		}
		return []time.Duration{4 * time.Millisecond}
	}
	return w
}

// join starts a daemon with a record in the store.
func (w *world) join(name string, centre int) *agent {
	a := &agent{w: w, name: name, dc: w.centres[centre]}
	w.agents = append(w.agents, a)
	w.setRecord(a)
	a.start()
	return a
}

// setRecord enters the record of a daemon, unless it is there.
func (w *world) setRecord(a *agent) {
	if _, ok := w.records[a.name]; !ok {
		w.records[a.name], a.since = a.dc, w.now
	}
}

// restart starts the daemon again.
func (a *agent) restart() {
	_, ok := a.w.records[a.name]
	a.start()
	a.owner.SetRestart(ok && a.w.now.Sub(a.since) >= quota.SettleTime)
}

// start gives the daemon the state of a new process.
func (a *agent) start() {
	a.dir = quota.NewDirectory(a.w.centres)
	a.owner = quota.NewOwner(a.name, a.dc, a.dir)
	a.owner.SetLimits(a.steady(), map[types.CustomerName]quota.Limit{customer: a.w.limit})
	a.asker, a.silent, a.known = quota.NewAsker(), quota.NewSilent(), time.Time{}
	a.waiting, a.asked, a.inbox = 0, 0, nil
	a.askNumber += 1000 // answers to earlier asks belong to another process
}

func (a *agent) steady() time.Time { return a.w.now.Add(-a.suspended) }

// isOff reports whether nothing happens at the daemon now.
func (a *agent) isOff() bool { return a.isDead || a.w.now.Before(a.resumes) }

// pause stops the daemon for a time. A suspension also stops its steady clock.
func (a *agent) pause(d time.Duration, isSuspension bool) {
	a.resumes = a.w.now.Add(d)
	if isSuspension {
		a.suspended += d // nobody reads its clock before it resumes
	}
	a.w.at(d, func() {
		for _, f := range a.inbox {
			f()
		}
		a.inbox = nil
	})
}

// ownerOf returns the owner in a data centre by the store, nil if there is none.
func (w *world) ownerOf(centre int) *agent {
	d := quota.NewDirectory(w.centres)
	for name, dc := range w.records {
		d.Set(name, dc)
	}
	owners := d.Owners(customer, w.centres[centre])
	if len(owners) == 0 {
		return nil
	}
	name := owners[0]
	i := slices.IndexFunc(w.agents, func(a *agent) bool { return a.name == name })
	if i < 0 {
		return nil
	}
	return w.agents[i]
}

// learn takes over the state of the store.
func (a *agent) learn() {
	if a.isOff() || a.isCut {
		return
	}
	for _, name := range a.dir.Names() {
		if _, ok := a.w.records[name]; !ok {
			a.dir.Remove(name)
		}
	}
	for name, dc := range a.w.records {
		a.dir.Set(name, dc)
	}
	if _, ok := a.w.records[a.name]; !ok {
		a.owner.SetRestart(false)
	}
	a.known = a.w.now
	a.observe()
}

func (a *agent) observe() { a.owner.Observe(a.steady(), a.w.now, a.w.now.Sub(a.known)) }

// request has a caller send a request to the daemon.
func (a *agent) request() {
	if a.isOff() {
		return
	}
	a.asker.Note(a.w.now)
	a.waiting++
	a.serve()
}

// serve runs the requests that have tokens and asks for those that have none.
func (a *agent) serve() {
	for {
		for a.waiting > 0 {
			if _, ok := a.asker.Take(a.w.now); !ok {
				break
			}
			a.waiting--
			a.w.ran = append(a.w.ran, a.w.now)
		}
		if a.waiting == 0 || a.asked != 0 {
			return
		}
		owners := a.dir.Owners(customer, a.dc)
		node, ok := a.asker.Next(a.w.now, owners, a.silent)
		if !ok {
			list := &a.w.noOwner
			if a.asker.IsUsedUp(a.w.now, owners) {
				list = &a.w.refused
			}
			for ; a.waiting > 0; a.waiting-- {
				*list = append(*list, a.w.now)
			}
			return
		}
		want := a.asker.Want(a.w.now, a.waiting)
		if node != a.name {
			a.ask(node, want)
			return
		}
		a.asker.Granted(a.w.now, a.w.now, node, a.grant(want))
	}
}

func (a *agent) grant(want int) quota.Grant {
	a.observe()
	g := a.owner.Grant(a.steady(), customer, want)
	for range g.Count {
		a.w.granted = append(a.w.granted, a.w.now)
	}
	return g
}

// ask sends an ask. Late and doubled answers are used like others as long as the process
// lives, which is more than the agent does.
func (a *agent) ask(node string, want int) {
	w, sent := a.w, a.w.now
	w.asks++
	a.askNumber++
	id, boot := a.askNumber, a.asker
	a.asked = id
	if i := slices.IndexFunc(w.agents, func(o *agent) bool { return o.name == node }); i >= 0 {
		to := w.agents[i]
		w.send(a, to, func() {
			g := to.grant(want)
			w.send(to, a, func() {
				if boot != a.asker {
					return
				}
				a.asker.Granted(w.now, sent, node, g)
				if a.asked == id {
					a.asked = 0
				}
				a.serve()
			})
		})
	}
	w.deliver(a, quota.AnswerTime, func() {
		if a.asked == id {
			a.asked = 0
			a.silent.Note(w.now, node)
			a.serve()
		}
	})
}

// send delivers a message as its fate is.
func (w *world) send(from, to *agent, do func()) {
	for _, d := range w.fate(from, to) {
		w.deliver(to, d, do)
	}
}

// deliver has a daemon do something after a time, or when it resumes.
func (w *world) deliver(to *agent, d time.Duration, do func()) {
	w.at(d, func() {
		switch {
		case to.isDead:
		case to.isOff():
			to.inbox = append(to.inbox, do)
		default:
			do()
		}
	})
}

// at has something done after a time.
func (w *world) at(d time.Duration, do func()) {
	e := event{at: w.now.Add(d), do: do}
	i := sort.Search(len(w.events), func(i int) bool { return w.events[i].at.After(e.at) })
	w.events = slices.Insert(w.events, i, e)
}

// run lets a time pass. All daemons learn the state of the store every 300 ms and look at
// its age every 200 ms.
func (w *world) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); {
		next := w.now.Add(step)
		for len(w.events) > 0 && !w.events[0].at.After(next) {
			e := w.events[0]
			w.events = w.events[1:]
			w.now = e.at
			e.do()
		}
		w.now = next
		tick := w.now.UnixMilli()
		for _, a := range w.agents {
			if tick%300 == 0 {
				a.learn()
			}
			if tick%200 == 0 && !a.isOff() {
				a.observe()
			}
		}
	}
}

// most returns the largest number of times in a closed window.
func most(times []time.Time, window time.Duration) int {
	n, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) > window {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}
