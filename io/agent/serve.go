package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/admit"
	"trefoilthread/core/types"
	"trefoilthread/io/crash"
	"trefoilthread/io/httpw"
	"trefoilthread/io/local"
	"trefoilthread/io/mesh"
)

// serve runs a call at the target on this VM, or refuses it.
func (t *localTarget) serve(ctx context.Context, head *mesh.CallHead) *mesh.Answer {
	began := t.clock.Now()
	named := head.Target
	ans, broken := t.admitAndRun(ctx, head)
	t.mu.Lock()
	ans.Load = t.load()
	ans.Instead = t.replacement(named)
	t.mu.Unlock()
	if head.Target != named {
		ans.Target = head.Target
	}
	t.countRefusal(ans.Reason)
	t.recordCall(head, ans, broken, t.clock.Since(began))
	return ans
}

// admitAndRun runs a call at the target, or refuses it. It returns the error of the target's
// response as well, nil if there is none.
func (t *localTarget) admitAndRun(ctx context.Context, head *mesh.CallHead) (ans *mesh.Answer, broken error) {
	came := t.fresh.Elapsed()
	t.awaitCopy(ctx)
	t.measurePace(ctx)
	now := t.clock.Now()
	if s := t.stop(); s != nil {
		head.RemainingMs = min(head.RemainingMs, s.Left(now).Milliseconds())
	}
	call, err := callOf(now, head)
	if err != nil {
		return refused("call not understood: "+err.Error(), 0), nil
	}
	if head.Offer != nil {
		if refusal := t.receiveBody(ctx, call, head); refusal != nil {
			return refusal, nil
		}
		now = t.clock.Now()
	}
	fp := crash.FingerprintOf(head)
	ticket, refusal := t.admit(ctx, now, call, head, fp)
	if refusal != nil {
		return refusal, nil
	}
	if reason := t.staleReason(head, came); reason != "" {
		t.release(ticket)
		return refused(reason, staleRetryDelay), nil
	}
	// The pause was checked before, but another call may have become its trial call since.
	if left := t.startUnlessPaused(); left > 0 {
		t.release(ticket)
		return refused(reasonPaused, left), nil
	}
	if !t.suspects.Begin(fp) {
		t.release(ticket)
		return refused("request has crashed targets and others are suspects here", 0), nil
	}
	ctx, cancel := t.runContext(ctx, call)
	defer cancel()
	start := t.clock.Now()
	t.recordStart(start)
	left := call.Remaining(start)
	req := t.wire.TargetRequest(head, left)
	resp, err := t.client.Do(ctx, req)
	ans, failed := t.answer(ctx, types.TargetID(head.Target), resp, err)
	if resp != nil && ans.Result != mesh.Answered {
		resp.Memory.Release()
	}
	t.recordResponse(types.TargetID(head.Target), start, ans.Result == mesh.Answered || ans.Reached, err)
	t.suspects.End(fp, ans.Result)
	t.finish(ticket, t.clock.Since(start), failed)
	return ans, err
}

// finish returns the slot of a call that has run for took.
func (t *localTarget) finish(ticket admit.Ticket, took time.Duration, failed bool) {
	t.mu.Lock()
	now := t.clock.Now()
	events := t.gate.Done(now, ticket, took, failed)
	t.decideOffers(now)
	t.mu.Unlock()
	t.deliver(events)
}

// release returns the slot of a call that does not run.
func (t *localTarget) release(ticket admit.Ticket) { t.finish(ticket, 0, true) }

// runContext returns the context of a run. A call that may run only once continues after
// its caller has left: if it were canceled, nobody would know whether it ran. Only the end
// of a planned stop of this agent ends it before its deadline.
func (t *localTarget) runContext(ctx context.Context, call types.Call) (context.Context, context.CancelFunc) {
	if call.Class().Runs() == types.AtMostOnce {
		ctx = t.running
	}
	return context.WithDeadline(ctx, call.Deadline())
}

// admit passes a call through the gate, and waits there if necessary. It returns the
// refusal if the call may not run.
func (t *localTarget) admit(
	ctx context.Context, now time.Time, call types.Call, head *mesh.CallHead, fp types.Fingerprint,
) (admit.Ticket, *mesh.Answer) {
	t.mu.Lock()
	reason := t.refusalReason(now, head)
	if reason == "" {
		if _, ok := t.suspects.Refuse(fp); ok {
			reason = "request has crashed targets"
		}
	}
	if reason != "" {
		hint := t.retryDelay(reason, now)
		t.mu.Unlock()
		return admit.Ticket{}, refused(reason, hint)
	}
	after := t.updateCold(now)
	ticket, v := t.enter(now, call, head)
	events := t.gate.Pending()
	var ch chan admit.Event
	if v == admit.Wait {
		ch = make(chan admit.Event, 1)
		t.waiters[ticket] = ch
		t.startTicking()
	}
	hint := t.retryHint()
	t.mu.Unlock()
	t.deliver(events)
	after()
	switch v {
	case admit.Run:
		return ticket, nil
	case admit.Refuse:
		return ticket, refused(ticket.Reason(), hint)
	}
	return t.awaitGrant(ctx, ticket, ch, hint)
}

// refusalReason returns why the present target cannot run a call, "" if it can, with the
// lock held. A call that names an earlier target of the same service is run by the
// present one, and head is changed to that: the sender knows the state of the store
// before the target was replaced.
func (t *localTarget) refusalReason(now time.Time, head *mesh.CallHead) string {
	cur, ok := t.announced.Current()
	switch {
	case !ok:
		return "no target announced"
	case string(cur.Service) != head.Service:
		return "target runs another service"
	case t.announced.State() != types.Up || t.stopping:
		return "target is leaving"
	case t.drained:
		return admit.ReasonDrained
	case now.Before(t.downUntil):
		return "target accepts no connection"
	case t.pauses.Left(now) > 0:
		return reasonPaused
	}
	head.Target = string(cur.ID)
	return ""
}

// replacement describes the present target if a call named another one, else nil, with
// the lock held.
func (t *localTarget) replacement(named string) *mesh.Presence {
	cur, ok := t.announced.Current()
	if !ok || string(cur.ID) == named || t.announced.State() != types.Up || t.stopping {
		return nil
	}
	return t.presence(cur)
}

// retryHint estimates when a slot is free for a refused call, with the lock held: when
// all calls that wait now have been started.
func (t *localTarget) retryHint() time.Duration {
	r := t.gate.Report()
	_, startIn := t.gate.ColdRate(t.clock.Now())
	return max(startIn, r.Latency*time.Duration(r.Queued+1)/time.Duration(max(r.Limit, 1)))
}

// awaitGrant waits for the gate's decision on a queued call.
func (t *localTarget) awaitGrant(ctx context.Context, ticket admit.Ticket, ch chan admit.Event, hint time.Duration) (admit.Ticket, *mesh.Answer) {
	select {
	case ev := <-ch:
		if ev.Verdict == admit.Run {
			return ticket, nil
		}
		return ticket, refused(ev.Reason, hint)
	case <-ctx.Done():
	}
	t.mu.Lock()
	delete(t.waiters, ticket)
	events := t.gate.Cancel(t.clock.Now(), ticket)
	t.mu.Unlock()
	t.deliver(events)
	t.release(ticket) // the gate may have granted it meanwhile
	return ticket, refused("caller left while the call waited", hint)
}

// refuseUnread returns the answer to a call that was not read.
func (t *localTarget) refuseUnread(reason string) *mesh.Answer {
	ans := refused(reason, memoryRetryDelay)
	t.mu.Lock()
	defer t.mu.Unlock()
	ans.Load = t.load()
	return ans
}

// declined returns the answer to a call that the target itself refused after the gate
// admitted it. The retry hint is that of the gate.
func (t *localTarget) declined(status int) *mesh.Answer {
	t.mu.Lock()
	hint := t.retryHint()
	t.mu.Unlock()
	ans := refused("target refused with status "+itoa(int64(status)), hint)
	ans.Reached = true
	return ans
}

// answer converts the response of the target with an id, and reports whether the target
// failed.
func (t *localTarget) answer(ctx context.Context, id types.TargetID, resp *httpw.Response, err error) (*mesh.Answer, bool) {
	switch {
	case errors.Is(err, local.ErrRefused):
		t.markDown(true)
		return refused("target accepts no connection", 0), true
	case errors.Is(err, local.ErrNotSent) && ctx.Err() != nil:
		return refused("deadline passed or caller left before a connection to the target was made", 0), false
	case errors.Is(err, local.ErrNotSent):
		t.markDown(false)
		return refused("no connection to the target", 0), true
	case err != nil && t.hasStopped():
		return &mesh.Answer{Result: mesh.Broken, Reason: "agent stopped while the target worked"}, false
	case err != nil && ctx.Err() != nil:
		return &mesh.Answer{Result: mesh.Expired, Reason: "deadline passed or caller left while the target worked"}, false
	case err != nil:
		t.presumeCold() // the target may have restarted
		return &mesh.Answer{Result: mesh.Broken, Reason: "target's response broke off: " + err.Error()}, true
	}
	v := t.wire.ReadResponseInfo(resp)
	t.setPace(v.Pace)
	t.setRate(id, v.Rate, v.Valid && !v.Failed)
	if v.Leaving {
		t.noteLeaving(id)
	}
	switch {
	case v.NotRun:
		return t.declined(resp.Status), true
	case !v.Valid:
		return &mesh.Answer{Result: mesh.Broken, Reason: "response isn't the target's own"}, true
	}
	return &mesh.Answer{
		Result: mesh.Answered, Status: resp.Status, Phrase: resp.Reason,
		Header: resp.Header.EndToEnd(), Body: resp.Body, Memory: resp.Memory,
	}, v.Failed
}

// hasStopped reports whether the time of a planned stop of this agent is over. The deadline of
// a call that is moved to its end may lie a millisecond before it, as calls carry whole ones.
func (t *localTarget) hasStopped() bool {
	s := t.stop()
	return s != nil && s.Left(t.clock.Now()) <= time.Millisecond
}

// markDown sends no calls for downPause to a target that accepts no connection. died
// means that nothing listens at its address any more; its running requests then become
// suspects.
func (t *localTarget) markDown(died bool) {
	t.mu.Lock()
	now := t.clock.Now()
	isNews := now.After(t.downUntil)
	t.downUntil = now.Add(downPause)
	t.cold.Presume(now)
	t.mu.Unlock()
	t.client.CloseIdle()
	if isNews && died {
		t.suspects.TargetDied()
	}
}

// setPace records the pace of the host and notifies other agents if it changed enough.
func (t *localTarget) setPace(now float64) {
	t.mu.Lock()
	isNews := t.pace.Observe(t.clock.Now(), now)
	t.setGatePace()
	if !isNews {
		t.mu.Unlock()
		return
	}
	l := t.load()
	cur, _ := t.announced.Current()
	t.mu.Unlock()
	t.onPaceChange(cur, l)
}

// refused returns the answer to a call that has not run. retry is the time until there
// may be a free slot, 0 if unknown; it is rounded up to whole milliseconds, as 0 would
// mean unknown.
func refused(reason string, retry time.Duration) *mesh.Answer {
	ms := (retry + time.Millisecond - 1) / time.Millisecond
	return &mesh.Answer{Result: mesh.Refused, Reason: reason, RetryMs: int64(ms)}
}
