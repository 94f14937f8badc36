package entry

import (
	"context"
	"slices"
	"time"

	"trefoilthread/core/poison"
	"trefoilthread/core/route"
	"trefoilthread/core/types"
	"trefoilthread/io/wire"
)

// race is the attempts of one call. At most two are in progress: the current
// one and a hedge.
type race struct {
	flow  *Flow
	ctx   context.Context
	call  types.Call
	head  *wire.CallHead
	body  *Body
	pool  *pool
	tries int
	tried []types.TargetID
	live  []*attempt
	done  chan *attempt
	// mayHaveRun is set by the first failure that does not prove the contrary.
	mayHaveRun bool
	// quarantined is set when the attempts showed that the request crashes
	// targets.
	quarantined *types.Failure
}

func (r *race) run() (*wire.Answer, error) {
	r.pool.called(r.flow.now())
	if f := r.launch(); f != nil {
		return nil, f
	}
	var hedge <-chan time.Time
	if d, ok := r.pool.hedgeAfter(r.flow.now(), r.call, r.tries, r.body.whole); ok {
		t := r.flow.opts.Clock.NewTimer(d)
		defer t.Stop()
		hedge = t.Chan()
	}
	for {
		select {
		case a := <-r.done:
			r.remove(a)
			if !a.failed() {
				return r.won(a), nil
			}
			if f := a.outcome(); f == nil || !f.Outcome().ProvesNotRun() {
				r.mayHaveRun = true
			}
			if r.again(a) {
				continue
			}
			if len(r.live) > 0 {
				// A hedge is still running; its answer may be better.
				r.discard(a)
				continue
			}
			return r.lost(a)
		case <-hedge:
			hedge = nil
			if len(r.live) == 1 && r.pool.takeHedge() {
				// Without a second target the first attempt goes on alone.
				_ = r.launch()
			}
		}
	}
}

// launch starts an attempt on a target that was not tried yet, or returns why
// there is none.
func (r *race) launch() *types.Failure {
	if r.tries <= 0 || !r.body.Replayable() {
		return types.NewFailure(types.NotRun, "no attempt is left")
	}
	now := r.flow.now()
	t, tok, f := r.pick(now)
	if f != nil {
		return f
	}
	r.tries--
	r.tried = append(r.tried, t.ID())
	ctx, cancel := context.WithCancel(r.ctx)
	a := &attempt{flow: r.flow, pool: r.pool, target: t, token: tok, start: now, ctx: ctx, cancel: cancel}
	r.live = append(r.live, a)
	head, body := *r.head, r.body.Reader()
	head.Tries = r.tries + 1
	go func() {
		a.send(head, body)
		r.done <- a
	}()
	return nil
}

// pick chooses the target of the next attempt. A suspect runs only on the one
// target where its trials are serialized.
func (r *race) pick(now time.Time) (types.Target, route.Token, *types.Failure) {
	var t types.Target
	var tok route.Token
	var ok bool
	switch fp := r.call.Fingerprint(); r.flow.opts.Check(fp) {
	case poison.Quarantined:
		return t, tok, types.NewFailure(types.Quarantined, "the same request has crashed two targets")
	case poison.Suspect:
		t, tok, ok = r.pool.startFor(now, fp)
	default:
		t, tok, ok = r.pool.start(now, r.tried)
	}
	if !ok {
		return t, tok, types.NewFailure(types.NotRun, "no target of the service is up")
	}
	return t, tok, nil
}

func (r *race) remove(a *attempt) {
	for i, b := range r.live {
		if a == b {
			r.live = append(r.live[:i], r.live[i+1:]...)
			return
		}
	}
}

// again starts another attempt after a failed one if that is allowed.
func (r *race) again(a *attempt) bool {
	if r.ctx.Err() != nil || a.isStale() {
		return false
	}
	// The target's own error answer does not tell whether it changed anything.
	o := types.Unknown
	if f := a.outcome(); f != nil {
		o = f.Outcome()
	}
	if !r.pool.mayRetry(r.flow.now(), r.call, o, r.tries, r.body.Replayable(), a.isFree()) {
		return false
	}
	if a.isStalled() {
		// A new connection to the same target works.
		r.tried = slices.DeleteFunc(r.tried, func(id types.TargetID) bool { return id == a.target.ID() })
	}
	if a.isTrialRefusal() && !r.pause(trialWait) {
		return false
	}
	if f := r.launch(); f != nil {
		if f.Outcome() == types.Quarantined {
			r.quarantined = f
		}
		return false
	}
	r.discard(a)
	return true
}

// trialWait is how long a suspect waits for a trial that is under way; it is of
// the order of a call's time.
const trialWait = 25 * time.Millisecond

// pause waits and reports whether the call still has time.
func (r *race) pause(d time.Duration) bool {
	select {
	case <-r.ctx.Done():
		return false
	case <-r.flow.opts.Clock.After(d):
		return true
	}
}

// discard gives up an answer that will not be used.
func (r *race) discard(a *attempt) {
	if a.answer != nil {
		_ = a.answer.Body.Close()
		a.finish(nil)
	}
}

// won cancels the other attempts and returns the answer.
func (r *race) won(a *attempt) *wire.Answer {
	r.abandon()
	if !a.failed() {
		now := r.flow.now()
		r.pool.took(now, now.Sub(a.start))
	}
	a.answer.Body = &attemptBody{a: a, body: a.answer.Body}
	return a.answer
}

// lost returns the last failure, or the target's own error answer.
func (r *race) lost(a *attempt) (*wire.Answer, error) {
	if a.err == nil {
		return r.won(a), nil
	}
	f := a.outcome()
	if r.quarantined != nil {
		f = r.quarantined
	}
	if f.Outcome().ProvesNotRun() && r.mayHaveRun {
		// This attempt did not run, but an earlier one may have.
		return nil, types.NewFailure(types.Unknown, "an earlier attempt may have run; last attempt: "+f.Reason())
	}
	if a.isStale() {
		return nil, &StaleError{f}
	}
	return nil, f
}

// abandon cancels the attempts that are still in progress and closes their
// answers when they come.
func (r *race) abandon() {
	n := len(r.live)
	if n == 0 {
		return
	}
	for _, a := range r.live {
		a.cancel()
	}
	go func() {
		for range n {
			r.discard(<-r.done)
		}
	}()
}
