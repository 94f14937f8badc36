package whole_test

import (
	"time"

	"trefoilthread/core/admit"
	"trefoilthread/core/claims"
	"trefoilthread/core/config"
	"trefoilthread/core/member"
	"trefoilthread/core/retry"
	"trefoilthread/core/route"
	"trefoilthread/core/types"
)

const (
	service    = types.ServiceName("rota")
	partitions = 4
	slots      = 3
)

// node is a VM: a target with the daemon beside it. proc is nil between a crash
// and the replacement.
type node struct {
	id          types.TargetID
	dc          types.DataCentre
	proc        *proc
	incarnation uint64
	slow        int
}

// instance is one start of a target.
type instance struct {
	name  types.TargetID
	slots int
	dead  bool
}

// proc is one process of a daemon.
type proc struct {
	w            *world
	n            *node
	dead, paused bool
	backlog      []func()
	pausedAt     time.Time
	pausedTotal  time.Duration
	streams      []*stream

	self    types.Target
	number  uint64
	dir     *member.Directory
	cfg     *config.Current
	version int64
	joined  bool

	target   *instance // nil while there is none
	draining bool
	drained  bool // the drain was acknowledged
	gate     *admit.Gate
	waiting  map[admit.Ticket]func(admit.Event)
	tickets  map[string]admit.Ticket // by call id
	breaks   []*run

	picker  *route.Picker
	budget  *retry.Budget
	hedger  *retry.Hedger
	keepers [partitions]*keeper
	owners  map[int]types.TargetID
	forced  map[int]bool
}

// start starts a daemon with its target on a node.
func (w *world) start(n *node) {
	n.incarnation++
	w.starts++
	p := &proc{
		w: w, n: n, number: w.starts, dir: member.NewDirectory(), cfg: config.NewCurrent(),
		gate: admit.New(admit.Options{Slots: slots, Connections: 8, Queue: 4}), waiting: map[admit.Ticket]func(admit.Event){},
		tickets: map[string]admit.Ticket{},
		budget:  retry.NewBudget(retry.BudgetOptions{}), hedger: retry.NewHedger(retry.HedgerOptions{MinSamples: 3, Share: 0.5}),
		target: &instance{name: n.id, slots: slots}, forced: map[int]bool{},
		self: types.NewTarget(types.TargetSpec{
			ID: n.id, Service: service, DataCentre: n.dc, Address: string(n.id), Slots: slots, Incarnation: n.incarnation,
		}),
	}
	n.slow = 0
	p.picker = route.New(route.Options{Self: n.id, DataCentre: n.dc, Seed: w.starts, Distance: distance})
	for i := range p.keepers {
		p.keepers[i] = newKeeper(p, i)
	}
	n.proc = p
	for _, l := range w.leaders {
		p.learn(l.table.Summary())
	}
	p.offer(w.document)
	p.beat()
}

func distance(from, to types.DataCentre) time.Duration {
	if from == to {
		return sameCentre
	}
	return otherCentre
}

// crash stops a daemon with its target; the VM comes back as a new one.
func (w *world) crash(n *node, back time.Duration) {
	p := n.proc
	if p == nil {
		return
	}
	if p.paused {
		p.pausedTotal += w.now.Sub(p.pausedAt)
	}
	p.dead, n.proc = true, nil
	p.stopTarget()
	p.breakStreams()
	for _, c := range w.oracle.calls {
		if c.entry == p && c.results == 0 {
			w.oracle.answered(w.now, c, types.Unknown, response{}) // connection reset
		}
	}
	w.after(nil, back, func() { w.start(n) })
}

func (p *proc) pause() {
	if !p.paused {
		p.paused, p.pausedAt = true, p.w.now
		p.breakStreams()
	}
}

func (p *proc) resume() {
	if !p.paused {
		return
	}
	p.paused = false
	p.pausedTotal += p.w.now.Sub(p.pausedAt)
	for _, run := range p.backlog {
		p.w.after(p, 0, run)
	}
	p.backlog = nil
}

// stopTarget ends the target with all its runs.
func (p *proc) stopTarget() {
	if p.target == nil {
		return
	}
	p.target.dead = true
	runs := p.breaks
	p.target, p.breaks = nil, nil
	for _, r := range runs {
		r.broke()
	}
	if !p.dead {
		p.deliver(p.gate.Drain(p.w.now))
	}
}

// crashTarget lets the target crash and announce itself again.
func (p *proc) crashTarget(back time.Duration) {
	if p.target == nil {
		return
	}
	p.stopTarget()
	p.setState(types.Down)
	p.w.after(p, back, func() {
		if p.target != nil {
			return
		}
		p.target = &instance{name: p.n.id, slots: slots}
		if p.draining {
			p.setState(types.Draining)
			return
		}
		p.gate.Resume()
		p.setState(types.Up)
	})
}

func (p *proc) drain() {
	p.draining = true
	if !p.w.rules.ignoreDrain {
		p.deliver(p.gate.Drain(p.w.now))
	}
	p.drained = true
	p.setState(types.Draining)
}

func (p *proc) undrain() {
	p.draining, p.drained = false, false
	if p.target != nil {
		p.gate.Resume()
		p.setState(types.Up)
	}
}

func (p *proc) setState(s types.TargetState) {
	p.self = p.self.WithState(s)
	p.report()
}

// beat sends heartbeats for as long as the process runs.
func (p *proc) beat() {
	p.report()
	p.w.after(p, time.Second, p.beat)
}

// report tells the leader the state of the own target.
func (p *proc) report() {
	l := p.w.leaderOf(p.n.dc)
	self, joined := p.self, p.joined
	p.w.leaderMessage(func() {
		ok := l.hear(self, p.number, joined)
		p.w.after(p, sameCentre, func() { p.joined = ok })
	})
}

// learn takes a summary of a leader.
func (p *proc) learn(s member.Summary) {
	if p.dir.MergeSummary(s) {
		p.moved()
	}
}

// observe takes what a message shows of a target.
func (p *proc) observe(t types.Target, incarnation uint64, s types.TargetState) {
	if p.dir.Observe(p.w.now, t.ID(), incarnation, s) {
		p.moved()
	}
}

// moved takes over a change of the members.
func (p *proc) moved() {
	p.picker.Update(p.w.now, p.dir.Targets(p.w.now, service))
	var up, all []types.TargetID
	for _, t := range p.dir.Targets(p.w.now, service) {
		all = append(all, t.ID())
		if t.State() == types.Up {
			up = append(up, t.ID())
		}
	}
	if len(up) == 0 {
		up = all
	}
	p.owners = map[int]types.TargetID{}
	for i := range partitions {
		if id, ok := claims.Owner(i, up); ok {
			p.owners[i] = id
		}
	}
	for i, k := range p.keepers {
		if id, ok := p.owner(i); ok && id != p.n.id {
			k.step(claims.Release())
		}
	}
}

// owner returns the daemon that keeps a partition. A forced partition is taken
// for the own one, as with a list of members that differs.
func (p *proc) owner(i int) (types.TargetID, bool) {
	if p.forced[i] {
		return p.n.id, true
	}
	id, ok := p.owners[i]
	return id, ok
}

// offer takes a configuration document.
func (p *proc) offer(doc config.Document) {
	p.cfg.Offer(doc)
	if p.w.rules.configBack {
		p.cfg = config.NewCurrent()
		p.cfg.Offer(doc)
	}
	p.w.oracle.inForce(p, p.cfg.Version())
}
