package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/admit"
	"trefoilthread/core/types"
	"trefoilthread/io/httpw"
	"trefoilthread/io/local"
	"trefoilthread/io/mesh"
)

// serve runs a call at the target on this VM, or refuses it.
func (o *own) serve(ctx context.Context, head *mesh.CallHead) *mesh.Answer {
	began := o.clock.Now()
	named := head.Target
	ans := o.admitAndRun(ctx, head)
	o.mu.Lock()
	ans.Load = o.load()
	ans.Instead = o.instead(named)
	o.mu.Unlock()
	o.note(head, ans, o.clock.Since(began))
	return ans
}

func (o *own) admitAndRun(ctx context.Context, head *mesh.CallHead) *mesh.Answer {
	o.measure(ctx)
	now := o.clock.Now()
	call, err := callOf(now, head)
	if err != nil {
		return refused("call not understood: "+err.Error(), 0)
	}
	fp := fingerprintOf(head)
	ticket, refusal := o.enter(ctx, now, call, head, fp)
	if refusal != nil {
		return refusal
	}
	ctx, cancel := o.bound(ctx, call)
	defer cancel()
	start := o.clock.Now()
	left := call.Remaining(start)
	req := o.wire.TargetRequest(head, left)
	o.suspects.begin(fp)
	resp, err := o.client.Do(ctx, req)
	ans, failed := o.judge(ctx, resp, err)
	o.suspects.end(fp, ans.Result)
	o.mu.Lock()
	events := o.gate.Done(o.clock.Now(), ticket, o.clock.Since(start), failed)
	o.mu.Unlock()
	o.deliver(events)
	return ans
}

// bound returns the context of a run. A call that may run only once goes on
// when its caller has left: cut off, nobody would know whether it ran.
func (o *own) bound(ctx context.Context, call types.Call) (context.Context, context.CancelFunc) {
	if call.Class().Runs() == types.AtMostOnce {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, call.Deadline())
}

// enter passes the gate, or returns the refusal.
func (o *own) enter(
	ctx context.Context, now time.Time, call types.Call, head *mesh.CallHead, fp types.Fingerprint,
) (admit.Ticket, *mesh.Answer) {
	o.mu.Lock()
	reason := o.mismatch(now, head)
	if reason == "" && o.suspects.isQuarantined(fp) {
		reason = "request has crashed targets"
	}
	if reason != "" {
		o.mu.Unlock()
		return admit.Ticket{}, refused(reason, 0)
	}
	ticket, v := o.gate.Offer(now, call)
	events := o.gate.Pending()
	var ch chan admit.Event
	if v == admit.Wait {
		ch = make(chan admit.Event, 1)
		o.waiters[ticket] = ch
		if !o.ticking {
			o.ticking = true
			o.clock.AfterFunc(checkInterval, o.tick)
		}
	}
	hint := o.roomIn()
	o.mu.Unlock()
	o.deliver(events)
	switch v {
	case admit.Run:
		return ticket, nil
	case admit.Refuse:
		return ticket, refused(ticket.Reason(), hint)
	}
	return o.wait(ctx, ticket, ch, hint)
}

// mismatch returns why the target as it is now can't run a call, with the lock
// held. A call for an earlier target of the service is for the present one: its
// sender knows what the store had before the target was replaced.
func (o *own) mismatch(now time.Time, head *mesh.CallHead) string {
	cur, ok := o.beat.Current()
	switch {
	case !ok:
		return "no target announced"
	case string(cur.Service) != head.Service:
		return "target runs another service"
	case o.beat.State() != types.Up || o.stopping:
		return "target is leaving"
	case now.Before(o.downTill):
		return "target accepts no connection"
	}
	head.Target = string(cur.ID)
	return ""
}

// instead describes the target as it is now if a call has named another one, with
// the lock held.
func (o *own) instead(named string) *mesh.Presence {
	cur, ok := o.beat.Current()
	if !ok || string(cur.ID) == named || o.beat.State() != types.Up || o.stopping {
		return nil
	}
	return o.presence(cur)
}

// roomIn estimates when a refused call may find room, with the lock held: the
// time in which the calls that wait now have been started.
func (o *own) roomIn() time.Duration {
	r := o.gate.Report()
	return r.Latency * time.Duration(r.Queued+1) / time.Duration(max(r.Limit, 1))
}

// wait waits for the gate's decision.
func (o *own) wait(ctx context.Context, ticket admit.Ticket, ch chan admit.Event, hint time.Duration) (admit.Ticket, *mesh.Answer) {
	select {
	case ev := <-ch:
		if ev.Verdict == admit.Run {
			return ticket, nil
		}
		return ticket, refused(ev.Reason, hint)
	case <-ctx.Done():
	}
	o.mu.Lock()
	delete(o.waiters, ticket)
	events := o.gate.Cancel(o.clock.Now(), ticket)
	// A grant that came meanwhile is given back.
	events = append(events, o.gate.Done(o.clock.Now(), ticket, 0, true)...)
	o.mu.Unlock()
	o.deliver(events)
	return ticket, refused("caller left while the call waited", hint)
}

// declined is the answer when the target has refused a call that its gate let
// through. It may have room again when the gate has.
func (o *own) declined(status int) *mesh.Answer {
	o.mu.Lock()
	hint := o.roomIn()
	o.mu.Unlock()
	ans := refused("target refused with status "+itoa(int64(status)), hint)
	ans.Reached = true
	return ans
}

// judge turns the target's response into the answer, and tells whether the
// target failed.
func (o *own) judge(ctx context.Context, resp *httpw.Response, err error) (*mesh.Answer, bool) {
	switch {
	case errors.Is(err, local.ErrRefused):
		o.markDown(true)
		return refused("target accepts no connection", 0), true
	case errors.Is(err, local.ErrNotSent) && ctx.Err() != nil:
		return refused("deadline passed or caller left before a connection to the target was made", 0), false
	case errors.Is(err, local.ErrNotSent):
		o.markDown(false)
		return refused("no connection to the target", 0), true
	case err != nil && ctx.Err() != nil:
		return &mesh.Answer{Result: mesh.Expired, Reason: "deadline passed or caller left while the target worked"}, false
	case err != nil:
		return &mesh.Answer{Result: mesh.Broken, Reason: "target's response broke off: " + err.Error()}, true
	}
	v := o.wire.ReadVerdict(resp)
	o.setPace(v.Pace)
	switch {
	case v.NotRun:
		return o.declined(resp.Status), true
	case !v.Valid:
		return &mesh.Answer{Result: mesh.Broken, Reason: "response isn't the target's own"}, true
	}
	return &mesh.Answer{
		Result: mesh.Answered, Status: resp.Status, Phrase: resp.Reason,
		Header: resp.Header.EndToEnd(), Body: resp.Body,
	}, v.Failed
}

// markDown leaves a target that accepts no connection alone for a while. Died
// tells that nobody listens there any more.
func (o *own) markDown(died bool) {
	o.mu.Lock()
	now := o.clock.Now()
	isNews := now.After(o.downTill)
	o.downTill = now.Add(downPause)
	o.mu.Unlock()
	o.client.Flush()
	if isNews && died {
		o.suspects.targetDied()
	}
}

// setPace takes over how long work takes on this VM now, and tells the other
// agents if that is news.
func (o *own) setPace(now float64) {
	o.mu.Lock()
	isNews := o.pace.Observe(o.clock.Now(), now)
	o.setGatePace()
	if !isNews {
		o.mu.Unlock()
		return
	}
	l := o.load()
	cur, _ := o.beat.Current()
	o.mu.Unlock()
	o.paceChanged(cur, l)
}

// refused returns the answer to a call that has not run. Retry is when there may be
// room, 0 if unknown; it is rounded up, as 0 would say that.
func refused(reason string, retry time.Duration) *mesh.Answer {
	ms := (retry + time.Millisecond - 1) / time.Millisecond
	return &mesh.Answer{Result: mesh.Refused, Reason: reason, RetryMs: int64(ms)}
}
