package whole_test

import (
	"slices"
	"strings"
	"time"

	"trefoilthread/core/admit"
	"trefoilthread/core/config"
	"trefoilthread/core/retry"
	"trefoilthread/core/route"
	"trefoilthread/core/types"
)

const firstTries = 4

// result is how a call ended at some hop.
type result struct {
	out      types.Outcome
	answer   response
	moved    bool
	report   types.Report
	configAt int64
}

func encode(r response) []byte { return []byte(r.id + "\x00" + r.key) }

func decode(b []byte) response {
	id, key, _ := strings.Cut(string(b), "\x00")
	return response{id: id, key: key}
}

func withDeadline(c types.Call, d time.Time) types.Call {
	out, err := types.NewCall(types.CallSpec{
		ID: c.ID(), Service: c.Service(), Method: c.Method(), Path: c.Path(), Class: c.Class(), Deadline: d,
		Worth: c.Worth(), Key: c.Key(), TriesLeft: c.TriesLeft(),
	})
	if err != nil {
		panic(err) // c was made by NewCall
	}
	return out
}

// serve takes a call of a caller at its entry daemon.
func (p *proc) serve(method, path, key string, timeout time.Duration) {
	w := p.w
	c := &call{
		id: w.newID(), key: key, entry: p, sent: w.now, deadline: w.now.Add(timeout), paused: p.pausedTotal,
	}
	w.oracle.calls = append(w.oracle.calls, c)
	w.byID[c.id] = c
	done := func(r result) { w.oracle.answered(w.now, c, r.out, r.answer) }
	s, ok := p.cfg.Document().Service(service)
	if !ok {
		done(result{out: types.NoSuchService})
		return
	}
	rule := s.Classify(method, path)
	c.class = rule.Class()
	tc, err := types.NewCall(types.CallSpec{
		ID: c.id, Service: service, Method: method, Path: path, Class: c.class, Deadline: c.deadline,
		Worth: rule.Worth(), Key: key, TriesLeft: firstTries,
	})
	switch {
	case err != nil:
		w.oracle.fail("%v", err)
	case c.class.Runs() == types.AtMostOnce && key != "":
		p.once(tc, done)
	default:
		p.flow(tc, done)
	}
}

// race is the attempts of one call, as in io/entry.
type race struct {
	p          *proc
	c          types.Call
	tries      int
	tried      []types.TargetID
	live       []*attempt
	over       bool
	mayHaveRun bool
	done       func(result)
}

type attempt struct {
	r     *race
	t     types.Target
	token route.Token
	start time.Time
	over  bool
}

func (p *proc) flow(c types.Call, done func(result)) {
	now := p.w.now
	r := &race{p: p, c: c, tries: c.TriesLeft(), done: done}
	p.budget.RecordCall(now)
	p.hedger.RecordCall()
	if !r.launch() {
		r.end(result{out: types.NotRun})
		return
	}
	if retry.Decide(c, 0, retry.Pending, false, r.tries, true, p.hedger.Available()) == retry.Hedge {
		if d, ok := p.hedger.Delay(now); ok {
			p.w.after(p, d, func() {
				if !r.over && len(r.live) == 1 && p.hedger.Take() && r.launch() {
					p.w.hedges++
				}
			})
		}
	}
	if !p.w.rules.noDeadline {
		p.w.after(p, c.Remaining(now), func() { r.end(result{out: types.DeadlineExceeded}) })
	}
}

// end gives the result and gives up the attempts in progress.
func (r *race) end(res result) {
	if r.over {
		return
	}
	r.over = true
	for _, a := range r.live {
		r.p.picker.Finish(r.p.w.now, a.token, route.Result{Outcome: types.Canceled})
		r.p.w.cancel(r.p.w.node(a.t.ID()), r.c.ID())
	}
	r.done(res)
}

func (r *race) launch() bool {
	p := r.p
	if r.tries <= 0 {
		return false
	}
	t, ok := p.picker.Pick(p.w.now, r.tried)
	if !ok {
		return false
	}
	r.tries--
	r.tried = append(r.tried, t.ID())
	a := &attempt{r: r, t: t, token: p.picker.Start(p.w.now, t.ID()), start: p.w.now}
	r.live = append(r.live, a)
	configAt, remaining := p.cfg.Version(), r.c.Remaining(p.w.now)
	if t.ID() == p.n.id {
		p.w.after(p, 0, func() { p.admit(r.c, func(res result) { a.took(res, nil) }) })
		return true
	}
	p.w.rpc(p, p.w.node(t.ID()), func(q *proc, answer func(any)) {
		q.take(withDeadline(r.c, q.w.now.Add(remaining)), configAt, func(res result) { answer(res) })
	}, func(v any, err error) {
		res, _ := v.(result)
		a.took(res, err)
	})
	return true
}

// took handles the end of an attempt, which may be told more than once.
func (a *attempt) took(res result, err error) {
	r, p := a.r, a.r.p
	now := p.w.now
	hasReport := err == nil
	switch err {
	case errNotSent:
		res.out = types.NotRun
		if t, ok := p.dir.Target(now, a.t.ID()); ok {
			p.observe(t, a.t.Incarnation(), types.Down)
		}
	case errBroken:
		res.out = types.Unknown
	}
	if hasReport && res.report.Draining() {
		p.observe(a.t, res.report.Incarnation(), types.Draining)
	}
	p.picker.Finish(now, a.token, route.Result{
		Latency: now.Sub(a.start), Outcome: res.out, Report: res.report, HasReport: hasReport,
		Failed: !res.out.ProvesNotRun() && res.out != types.Done,
	})
	if a.over || r.over {
		return
	}
	a.over = true
	if res.configAt > p.cfg.Version() {
		// A refused call goes again only under the newer document.
		fetched := false
		p.w.rpc(p, p.w.node(a.t.ID()), func(q *proc, answer func(any)) { answer(q.cfg.Document()) },
			func(v any, _ error) {
				if doc, ok := v.(config.Document); ok {
					p.offer(doc)
				}
				if !fetched {
					fetched = true
					a.judge(res)
				}
			})
		return
	}
	a.judge(res)
}

// judge ends the race or starts another attempt.
func (a *attempt) judge(res result) {
	r, p := a.r, a.r.p
	now := p.w.now
	if r.over {
		return
	}
	r.live = slices.DeleteFunc(r.live, func(b *attempt) bool { return a == b })
	if res.out == types.Done {
		p.hedger.RecordLatency(now, now.Sub(a.start))
		r.end(res)
		return
	}
	r.mayHaveRun = r.mayHaveRun || !res.out.ProvesNotRun()
	free := res.report.Draining() && res.out == types.NotRun
	proven := res.out == types.NotRun || p.w.rules.retryUnproven
	if retry.Decide(r.c, 0, res.out, proven, r.tries, true, free || p.budget.Available(now)) == retry.Retry &&
		(free || p.budget.Take(now)) && r.launch() {
		p.w.retries++
		return
	}
	if len(r.live) > 0 {
		return
	}
	if res.out == types.NotRun && r.mayHaveRun && !p.w.rules.forgetRun {
		res.out = types.Unknown
	}
	r.end(res)
}

// take handles a call of another daemon for the own target.
func (p *proc) take(c types.Call, configAt int64, done func(result)) {
	s, ok := p.cfg.Document().Service(service)
	if ok && configAt < s.Version() {
		done(p.refusal())
		return
	}
	p.admit(c, done)
}

func (p *proc) refusal() result {
	return result{out: types.NotRun, report: p.load(), configAt: p.cfg.Version()}
}

func (p *proc) load() types.Report {
	s := p.gate.Report()
	s.Incarnation = p.self.Incarnation()
	return types.NewReport(s)
}

// admit passes a call through the gate to the target.
func (p *proc) admit(c types.Call, done func(result)) {
	now := p.w.now
	if p.target == nil {
		done(p.refusal())
		return
	}
	t, v := p.gate.Offer(now, c)
	if p.w.rules.skipGate {
		v = admit.Run
	}
	p.deliver(p.gate.Pending())
	switch v {
	case admit.Run:
		p.run(c, t, done)
	case admit.Refuse:
		done(p.refusal())
	case admit.Wait:
		p.tickets[c.ID()] = t
		p.waiting[t] = func(ev admit.Event) {
			if ev.Verdict == admit.Run {
				p.run(c, t, done)
				return
			}
			done(p.refusal())
			if p.w.rules.runRefused {
				p.run(c, t, func(result) {})
			}
		}
		p.w.after(p, c.Remaining(now), func() {
			if p.waiting[t] != nil {
				p.cancel(c.ID())
				done(p.refusal())
			}
		})
		p.tick()
	}
}

// cancel tells a daemon that nobody waits for a call any more.
func (w *world) cancel(n *node, id string) {
	w.after(nil, otherCentre, func() {
		if q := n.proc; q != nil {
			w.after(q, 0, func() { q.cancel(id) })
		}
	})
}

// cancel withdraws a waiting call. A running one keeps its slot to its end.
func (p *proc) cancel(id string) {
	if t, ok := p.tickets[id]; ok {
		delete(p.waiting, t)
		p.deliver(p.gate.Cancel(p.w.now, t))
	}
}

// tick refuses late calls for as long as calls wait.
func (p *proc) tick() {
	p.w.after(p, 10*time.Millisecond, func() {
		if len(p.waiting) > 0 {
			p.deliver(p.gate.Tick(p.w.now))
			p.tick()
		}
	})
}

func (p *proc) deliver(events []admit.Event) {
	for _, ev := range events {
		f := p.waiting[ev.Ticket]
		if f == nil {
			p.w.oracle.fail("decision on a call that does not wait at %s", p.n.id)
			return
		}
		delete(p.waiting, ev.Ticket)
		f(ev)
	}
}

// run is one run of a call at the target.
type run struct {
	p     *proc
	in    *instance
	over  bool
	ended func(result)
}

func (r *run) broke() {
	if r.over {
		return
	}
	r.over = true
	r.p.w.oracle.ended(r.in)
	r.p.w.after(r.p, 0, func() { r.ended(result{out: types.Unknown}) })
}

func (p *proc) run(c types.Call, t admit.Ticket, done func(result)) {
	w, start := p.w, p.w.now
	in := p.target
	if in == nil {
		w.oracle.fail("the gate at %s runs a call without target", p.n.id)
		return
	}
	w.oracle.started(w.byID[c.ID()], in, p.drained)
	p.tickets[c.ID()] = t
	r := &run{p: p, in: in}
	r.ended = func(res result) {
		delete(p.tickets, c.ID())
		p.deliver(p.gate.Done(w.now, t, w.now.Sub(start), res.out != types.Done))
		res.report = p.load()
		done(res)
	}
	p.breaks = append(p.breaks, r)
	took := time.Duration(3+len(w.oracle.calls)%9) * time.Millisecond << p.n.slow
	w.after(nil, took, func() {
		if r.over {
			return
		}
		r.over = true
		w.oracle.ended(in)
		id, key := c.ID(), c.Key()
		if w.rules.wrongAnswer {
			if w.last.id != "" {
				id, key = w.last.id, w.last.key
			}
			w.last = response{id: c.ID(), key: c.Key()}
		}
		w.after(p, 0, func() { r.ended(result{out: types.Done, answer: response{id: id, key: key}}) })
	})
}
