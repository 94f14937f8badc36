package whole_test

import (
	"time"

	"trefoilthread/core/claims"
	"trefoilthread/core/types"
)

const claimPoll = 50 * time.Millisecond

// keeper drives one partition on one daemon, as io/daemon does.
type keeper struct {
	p       *proc
	index   int
	part    *claims.Partition
	decided map[uint64]func(claims.Action)
	timer   int
}

func newKeeper(p *proc, i int) *keeper {
	return &keeper{
		p: p, index: i, decided: map[uint64]func(claims.Action){},
		part: claims.NewPartition(p.w.now, claims.Spec{
			Partition: i, Holder: p.n.id, Seed: [2]uint64{p.number, uint64(i)}, SegmentSize: 3, MaxResponseBytes: 512,
		}),
	}
}

func (k *keeper) step(ev claims.Event) {
	p := k.p
	for _, a := range k.part.Step(p.w.now, ev) {
		switch a.Kind() {
		case claims.Run, claims.Refuse:
			f := k.decided[a.Ticket()]
			if f == nil {
				p.w.oracle.fail("claim %d of partition %d at %s decided twice", a.Ticket(), k.index, p.n.id)
				return
			}
			delete(k.decided, a.Ticket())
			f(a)
		default:
			p.w.storeCall(p, func() func() {
				done := p.w.store.claim(p.w.now, a)
				return func() { k.step(done) }
			})
		}
	}
	k.timer++
	timer := k.timer
	p.w.after(p, max(k.part.NextWake(p.w.now).Sub(p.w.now), time.Millisecond), func() {
		if timer == k.timer {
			k.step(claims.Tick())
		}
	})
}

// claimed is the result of a claim: to run under a ticket, or a result.
type claimed struct {
	run    bool
	ticket uint64
	result result
}

// claim claims a key until the deadline.
func (k *keeper) claim(h claims.Hash, deadline time.Time, done func(claimed)) {
	p, now := k.p, k.p.w.now
	v := k.part.Claim(now, h)
	if p.w.rules.claimAgain && v.Answer() != claims.Fresh {
		done(claimed{run: true})
		return
	}
	switch v.Answer() {
	case claims.Fresh:
		k.await(h, v.Ticket(), deadline, done)
		k.step(claims.Tick())
		return
	case claims.Completed:
		done(claimed{result: result{out: types.Done, answer: decode(v.Response())}})
		return
	case claims.UnknownOutcome:
		done(claimed{result: result{out: types.Unknown}})
		return
	case claims.Refused:
		if k.part.State() == claims.Active {
			done(claimed{result: result{out: types.NotRun}})
			return
		}
		if id, ok := p.owner(k.index); ok && id != p.n.id {
			done(claimed{result: result{out: types.NotRun, moved: true}})
			return
		}
		if k.part.State() == claims.Released {
			k.step(claims.Acquire())
		}
	}
	if !now.Before(deadline) {
		out := types.NotRun
		if v.Answer() == claims.Running {
			out = types.Unknown
		}
		done(claimed{result: result{out: out}})
		return
	}
	p.w.after(p, min(claimPoll, deadline.Sub(now)), func() { k.claim(h, deadline, done) })
}

// await waits until a claim is durable. A claim that is given up never runs.
func (k *keeper) await(h claims.Hash, ticket uint64, deadline time.Time, done func(claimed)) {
	p, over := k.p, false
	k.decided[ticket] = func(a claims.Action) {
		switch {
		case over && a.Kind() == claims.Run:
			k.part.FinishNotRun(h, ticket)
		case over:
		case a.Kind() == claims.Refuse:
			over = true
			done(claimed{result: result{out: types.NotRun, moved: true}})
		default:
			over = true
			done(claimed{run: true, ticket: ticket})
		}
	}
	p.w.after(p, max(0, deadline.Sub(p.w.now)), func() {
		if !over {
			over = true
			done(claimed{result: result{out: types.NotRun}})
		}
	})
}

// once runs a keyed call through the owner of its partition.
func (p *proc) once(c types.Call, done func(result)) {
	h := claims.KeyHash(c.Service(), c.Key())
	index := claims.PartitionOf(h, partitions)
	over, wait, tries := false, 20*time.Millisecond, 0
	finish := func(r result) {
		if !over {
			over = true
			done(r)
		}
	}
	// asked is who works on the call; the own daemon ends it itself.
	asked := types.TargetID("")
	p.w.after(p, c.Remaining(p.w.now), func() {
		switch asked {
		case "":
			finish(result{out: types.NotRun})
		case p.n.id:
		default:
			finish(result{out: types.DeadlineExceeded})
		}
	})
	var try func()
	took := func(r result) {
		tries++
		if !r.moved || tries >= 30 || !p.w.now.Before(c.Deadline()) {
			finish(r)
			return
		}
		asked = ""
		p.w.after(p, wait, try)
		wait = min(2*wait, 160*time.Millisecond)
	}
	try = func() {
		id, ok := p.owner(index)
		switch {
		case over:
		case !ok:
			took(result{out: types.NotRun, moved: true})
		case id == p.n.id:
			asked = id
			p.runOnce(c, h, index, took)
		default:
			asked = id
			n, answered := p.w.node(id), false
			p.w.rpc(p, n, func(o *proc, answer func(any)) {
				if own, ok := o.owner(index); !ok || own != o.n.id {
					answer(result{out: types.NotRun, moved: true})
					return
				}
				o.runOnce(withDeadline(c, o.w.now.Add(c.Remaining(p.w.now))), h, index, func(r result) { answer(r) })
			}, func(v any, err error) {
				if answered {
					return
				}
				answered = true
				switch err {
				case nil:
					took(v.(result))
				case errNotSent:
					if t, ok := p.dir.Target(p.w.now, id); ok {
						p.observe(t, t.Incarnation(), types.Down)
					}
					took(result{out: types.NotRun, moved: true})
				default:
					took(result{out: types.Unknown})
				}
			})
		}
	}
	try()
}

// runOnce claims the key, runs the call and keeps its response.
func (p *proc) runOnce(c types.Call, h claims.Hash, index int, done func(result)) {
	k := p.keepers[index]
	k.claim(h, c.Deadline(), func(got claimed) {
		if !got.run {
			done(got.result)
			return
		}
		p.flow(c, func(r result) {
			switch {
			case r.out == types.Done:
				k.part.Finish(h, got.ticket, encode(r.answer))
			case r.out.ProvesNotRun():
				k.part.FinishNotRun(h, got.ticket)
			default:
				k.part.FinishUnknown(h, got.ticket)
			}
			done(r)
		})
	})
}
