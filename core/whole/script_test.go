package whole_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"trefoilthread/core/claims"
	"trefoilthread/core/config"
	"trefoilthread/core/types"
)

// rules are those that a trial breaks, to show that the oracle finds it.
type rules struct {
	ignoreConflict, retryUnproven, wrongAnswer, forgetRun                 bool
	skipGate, runRefused, claimAgain, configBack, ignoreDrain, noDeadline bool
}

// world is one deployment: VMs in two data centres, a store and an oracle.
type world struct {
	loop
	rules        rules
	oracle       *oracle
	store        *store
	netFaults    faults
	storeFaults  faults
	memberFaults faults
	cut          bool // no messages between the data centres
	nodes        []*node
	leaders      []*leader
	document     config.Document
	documents    []config.Document
	starts       uint64
	ids          int
	keys         int
	hedges       int
	retries      int
	byID         map[string]*call
	last         response
	moves        map[string]int
}

// move is one step of a script. The numbers mean what the kind makes of them.
type move struct {
	Kind    string
	A, B, N int
}

var kinds = []string{
	"call", "call", "call", "key", "key", "key", "again", "again", "again", "burst", "step", "step", "step", "wait", "wait",
	"crash", "pause", "resume", "resume", "targetCrash", "slow", "net", "net", "net", "member", "store", "store",
	"outage", "cut", "takeover", "drain", "undrain", "config", "leader", "keyedBurst", "split", "split", "split",
}

// scripts draws whole sequences of calls and faults.
var scripts = rapid.Custom(func(t *rapid.T) []move {
	one := rapid.Custom(func(t *rapid.T) move {
		return move{
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), A: rapid.IntRange(0, 11).Draw(t, "a"),
			B: rapid.IntRange(0, 11).Draw(t, "b"), N: rapid.IntRange(0, 999).Draw(t, "n"),
		}
	})
	return rapid.SliceOfN(one, 15, 80).Draw(t, "moves")
})

func newWorld(n int, r rules) *world {
	w := &world{
		oracle: newOracle(), store: newStore(), rules: r, byID: map[string]*call{}, moves: map[string]int{},
	}
	w.now = time.Unix(1000, 0)
	w.store.ignoreConflict = r.ignoreConflict
	w.change(0)
	w.lead("muscat-a")
	w.lead("muscat-b")
	for i := range n {
		dc := types.DataCentre([]string{"muscat-a", "muscat-b"}[i%2])
		nd := &node{id: types.TargetID(fmt.Sprintf("d%d", i)), dc: dc}
		w.nodes = append(w.nodes, nd)
	}
	for _, nd := range w.nodes {
		w.start(nd)
	}
	w.run(time.Second)
	return w
}

func (w *world) node(id types.TargetID) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (w *world) newID() string {
	w.ids++
	return fmt.Sprintf("c%d", w.ids)
}

func (w *world) run(d time.Duration) {
	first := w.seq
	w.advance(d, func() bool {
		if w.seq-first > maxEvents {
			w.oracle.fail("more than %d events in %v", maxEvents, d)
		}
		return w.oracle.err != nil
	})
	w.oracle.overdue(w.now)
}

// change commits a configuration and sends it to all daemons, with the faults
// of messages and once again an older one.
func (w *world) change(n int) {
	rule := func(method, path string, urgent bool, runs types.Runs) config.Rule {
		return config.NewRule(config.RuleSpec{
			Method: method, Path: path, Urgent: urgent, Runs: runs, Deadline: time.Second, Worth: float64(1 + n%3),
		})
	}
	next := config.NewService(config.ServiceSpec{
		Name: service, DataCentres: []types.DataCentre{"muscat-a", "muscat-b"}, Slots: slots, Connections: 8,
		ProbeBudget: 10 * time.Millisecond, RetryShare: 0.1, HedgeShare: 0.05, MaxBodyBytes: int64(1000 + w.ids + len(w.documents)),
		Rules: []config.Rule{
			rule("GET", "/urgent", true, types.Idempotent), rule("GET", "/list", false, types.Idempotent),
			rule("POST", "/visits", n%2 == 1, types.AtMostOnce),
		},
	})
	old, found := w.document.Service(service)
	spec := config.ChangeSpec{
		Action: config.Update, Service: next, Base: old.Version(), Operator: "ana", Address: "127.0.0.1",
		RequestID: fmt.Sprintf("r%d", len(w.documents)),
	}
	if !found {
		spec.Action = config.Create
	}
	doc, _, err := config.Apply(w.document, config.NewChange(spec), w.now)
	if err != nil {
		w.oracle.fail("configuration: %v", err)
		return
	}
	w.document = doc
	w.documents = append(w.documents, doc)
	push := func(doc config.Document) {
		for _, nd := range w.nodes {
			w.leaderMessage(func() {
				if p := nd.proc; p != nil {
					w.after(p, 0, func() { p.offer(doc) })
				}
			})
		}
	}
	push(doc)
	w.after(nil, 20*time.Millisecond, func() { push(w.documents[len(w.documents)/2]) })
}

// play runs a script to its end and reports the first violation.
func play(n int, script []move, r rules) (*world, error) {
	w := newWorld(n, r)
	for _, m := range script {
		w.moves[m.Kind]++
		if w.move(m); w.oracle.err != nil {
			return w, w.oracle.err
		}
	}
	w.heal()
	return w, w.oracle.err
}

// heal ends all faults and lets every call come to its end.
func (w *world) heal() {
	w.store.outage, w.cut = false, false
	w.netFaults.queue, w.storeFaults.queue, w.memberFaults.queue = nil, nil, nil
	for _, n := range w.nodes {
		if n.proc != nil {
			n.proc.resume()
		}
	}
	if w.run(8 * time.Second); w.oracle.err != nil {
		return
	}
	w.recovered()
	for _, c := range w.oracle.calls {
		if c.results != 1 {
			w.oracle.fail("call %s has %d results at the end", c.id, c.results)
		}
	}
}

// recovered requires that without faults a call of each daemon is answered in
// 5 s. An owner that learns only now that it was replaced waits up to 3 s
// before it takes the partition over again.
func (w *world) recovered() {
	for _, n := range w.nodes {
		n.slow = 0
		n.proc.forced = map[int]bool{}
		n.proc.undrain()
	}
	w.run(8 * time.Second)
	first := len(w.oracle.calls)
	for _, n := range w.nodes {
		w.keys++
		w.call(n, 2, 2490, fmt.Sprintf("k%d", w.keys))
		w.call(n, 1, 2490, "")
	}
	w.run(6 * time.Second)
	for _, c := range w.oracle.calls[first:] {
		if c.outcome != types.Done {
			w.oracle.fail("call %s with key %q ended as %s without faults", c.id, c.key, c.outcome)
		}
	}
}

func (w *world) call(n *node, kind, timeout int, key string) {
	p := n.proc
	if p == nil {
		return
	}
	method, path := "GET", "/urgent"
	switch {
	case key != "" || kind%3 == 2:
		method, path = "POST", "/visits"
	case kind%3 == 1:
		path = "/list"
	}
	w.after(p, 0, func() { p.serve(method, path, key, time.Duration(20+2*timeout)*time.Millisecond) })
	w.run(0)
}

func (w *world) move(m move) {
	n := w.nodes[m.A%len(w.nodes)]
	ms := time.Duration(m.N) * time.Millisecond
	plan := func(f *faults) {
		for range 1 + m.N%6 {
			f.queue = append(f.queue, fault(m.B%int(faultKinds)))
		}
	}
	newKey := func() string {
		w.keys++
		return fmt.Sprintf("k%d", w.keys)
	}
	switch m.Kind {
	case "call":
		w.call(n, m.B, m.N, "")
	case "key":
		w.call(n, 2, m.N, newKey())
	case "again":
		if w.keys > 0 {
			w.call(n, 2, m.N, fmt.Sprintf("k%d", max(1, w.keys-m.B%4)))
		}
	case "burst", "keyedBurst":
		for i := range 6 + m.B {
			key := ""
			if m.Kind == "keyedBurst" {
				key = newKey()
			}
			w.call(w.nodes[(m.A+i*(m.N%2))%len(w.nodes)], m.B+i*(m.N%3), m.N, key)
		}
	case "step":
		w.run(ms / 10)
	case "wait":
		w.run(3 * ms)
	case "split":
		w.split(n, m)
	case "crash":
		w.crash(n, ms)
	case "net":
		plan(&w.netFaults)
	case "member":
		plan(&w.memberFaults)
	case "store":
		plan(&w.storeFaults)
	case "outage":
		w.store.outage = !w.store.outage
	case "cut":
		w.cut = !w.cut
	case "config":
		w.change(m.N)
	case "leader":
		w.lead(n.dc)
	default:
		if n.proc != nil {
			n.proc.move(m, ms)
		}
	}
}

// split lets a daemon take partitions over that another one keeps, and sends
// keys through both.
func (w *world) split(n *node, m move) {
	p := n.proc
	if p == nil {
		return
	}
	for i := range partitions {
		p.move(move{Kind: "takeover", B: i, N: 1}, 0)
	}
	w.run(time.Duration(m.N) * time.Millisecond / 2)
	for range 4 {
		w.keys++
		key := fmt.Sprintf("k%d", w.keys)
		for i := range 3 {
			w.call(w.nodes[(m.A+i*(1+m.B%2))%len(w.nodes)], 2, 500, key)
		}
		w.run(time.Duration(m.B) * 10 * time.Millisecond)
	}
	for i := range partitions {
		p.move(move{Kind: "takeover", B: i}, 0)
	}
}

// move applies the moves that need a process.
func (p *proc) move(m move, ms time.Duration) {
	switch m.Kind {
	case "pause":
		p.pause()
	case "resume":
		p.resume()
	case "targetCrash":
		p.crashTarget(ms)
	case "slow":
		p.n.slow = m.B % 8 * (m.N % 2)
	case "drain":
		if !p.paused {
			p.drain()
		}
	case "undrain":
		if !p.paused {
			p.undrain()
		}
	case "takeover":
		i := m.B % partitions
		p.forced[i] = m.N%4 != 0
		if p.forced[i] {
			p.w.after(p, 0, func() { p.keepers[i].step(claims.Acquire()) })
		}
	}
}
