package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/admit"
	"trefoilthread/core/link"
	"trefoilthread/core/types"
	"trefoilthread/io/mesh"
)

// receiveBody waits until the body of an offered call is granted and has come. It returns the
// refusal if the call may not run: its body has not come then, or not completely.
func (t *localTarget) receiveBody(ctx context.Context, call types.Call, head *mesh.CallHead) *mesh.Answer {
	id, ch, refusal := t.offer(call, head)
	if refusal != nil {
		return refusal
	}
	defer t.endOffer(id)
	var start time.Duration
	select {
	case ev := <-ch:
		if !ev.Granted {
			t.metrics.countEvent("offers_refused")
			return t.refusedOffer(ev.Reason)
		}
		start = ev.Start
	case <-ctx.Done():
		return refused("caller left while the body waited for the link", 0)
	}
	t.metrics.countEvent("offers_granted")
	err := head.Offer.Receive(ctx, start, link.UnusedTime, func(n int) { t.noteBody(id, n) })
	switch {
	case err == nil:
		return nil
	case errors.Is(err, mesh.ErrUnused):
		t.metrics.countEvent("grants_expired")
	case errors.Is(err, mesh.ErrNoMemory):
		t.metrics.countEvent("calls_without_memory")
		return refused(err.Error(), memoryRetryDelay)
	}
	return t.refusedOffer("body not received: " + err.Error())
}

// offer enters an offered call, and returns the channel for the decision on it.
func (t *localTarget) offer(call types.Call, head *mesh.CallHead) (link.ID, chan link.Event, *mesh.Answer) {
	t.metrics.countEvent("offers")
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if reason := t.refusalReason(now, head); reason != "" {
		return 0, nil, refused(reason, t.retryDelay(reason, now))
	}
	id := t.link.Add(link.Offer{Call: call, Bytes: head.BodyLen, SenderMbit: head.Offer.SenderLink(), Value: t.gate.Value(now, call)})
	ch := make(chan link.Event, 1)
	t.offers[id] = ch
	t.decideOffers(now)
	if t.link.Waiting() > 0 {
		t.startTicking()
	}
	return id, ch, nil
}

// refusedOffer returns the refusal of an offered call, which may find room when the bodies
// before it have come and the calls before it have started.
func (t *localTarget) refusedOffer(reason string) *mesh.Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return refused(reason, max(t.retryHint(), t.link.Demand(t.clock.Now())))
}

// decideOffers grants and refuses offered calls, with the lock held.
func (t *localTarget) decideOffers(now time.Time) {
	if t.link.Waiting() > 0 {
		t.deliverDecisions(t.link.Decide(now, t.gate))
	}
	t.metrics.setLinkBusy(t.link.Busy(now))
}

// deliverDecisions passes decisions to the offered calls, with the lock held.
func (t *localTarget) deliverDecisions(events []link.Event) {
	for _, ev := range events {
		t.offers[ev.ID] <- ev
	}
}

// noteBody counts n bytes of a granted body that have come.
func (t *localTarget) noteBody(id link.ID, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.link.Progress(now, id, n)
	t.decideOffers(now)
}

// endOffer removes an offered call: its body has come, or won't come.
func (t *localTarget) endOffer(id link.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.offers, id)
	if t.link.End(id) {
		t.gate.Unexpect()
	}
	t.decideOffers(t.clock.Now())
}

// enter passes a call to the gate, with the lock held.
func (t *localTarget) enter(now time.Time, call types.Call, head *mesh.CallHead) (admit.Ticket, admit.Verdict) {
	if head.Offer != nil {
		return t.gate.Arrive(now, call)
	}
	return t.gate.Offer(now, call)
}

// startTicking begins to check the waiting calls, with the lock held.
func (t *localTarget) startTicking() {
	if !t.ticking {
		t.ticking = true
		t.clock.AfterFunc(queueCheckInterval, t.tick)
	}
}
