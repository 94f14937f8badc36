package target

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/admit"
	"trefoilthread/core/types"
	"trefoilthread/io/wire"
)

// admitCall waits until the gate lets the call run. The error is a
// *wire.Failure that proves that the call did not run.
func (l *Local) admitCall(ctx context.Context, c types.Call) (admit.Ticket, error) {
	l.mu.Lock()
	if !l.up {
		l.mu.Unlock()
		return admit.Ticket{}, l.refuse(types.NotRun, "no target announced here")
	}
	ticket, v := l.gate.Offer(l.now(), c)
	// A more valuable call may have taken the place of a waiting one.
	l.waiting.deliver(l.gate.Pending())
	if v == admit.Run {
		l.mu.Unlock()
		return ticket, nil
	}
	if v == admit.Refuse {
		l.mu.Unlock()
		return ticket, l.refuse(types.NotRun, ticket.Reason())
	}
	wait := make(chan verdict, 1)
	l.waiting[ticket] = wait
	l.mu.Unlock()
	l.opts.Waits()

	select {
	case got := <-wait:
		return ticket, l.decided(got)
	case <-ctx.Done():
	}
	l.mu.Lock()
	if _, ok := l.waiting[ticket]; ok {
		delete(l.waiting, ticket)
		l.waiting.deliver(l.gate.Cancel(l.now(), ticket))
		l.mu.Unlock()
		return ticket, l.refuse(canceled(ctx), "given up while waiting for a slot")
	}
	l.mu.Unlock()
	// The gate decided at the same moment; its word counts.
	return ticket, l.decided(<-wait)
}

func (l *Local) decided(v verdict) error {
	if v.run {
		return nil
	}
	return l.refuse(types.NotRun, v.reason)
}

// canceled tells why a call that has not run was given up. Both outcomes prove
// that it did not run here.
func canceled(ctx context.Context) types.Outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return types.NotRun
	}
	return types.Canceled
}

// release gives the slot back and wakes the calls that may run next.
func (l *Local) release(t admit.Ticket, service time.Duration, failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting.deliver(l.gate.Done(l.now(), t, service, failed))
}

func (l *Local) refuse(o types.Outcome, reason string) *wire.Failure {
	return &wire.Failure{Outcome: uint8(o), Reason: reason, Report: l.WireReport()}
}

// Tick refuses waiting calls that can no longer make their deadline, and closes
// connections that have stalled. The daemon calls it every few milliseconds.
func (l *Local) Tick() {
	if l.stalls.needsEvidence() && l.probing.CompareAndSwap(false, true) {
		go l.probe()
	}
	l.closeStalled()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) > 0 {
		l.waiting.deliver(l.gate.Tick(l.now()))
	}
}

// closeStalled closes the connections that have gone silent, and the idle ones,
// which most likely share their fate.
func (l *Local) closeStalled() {
	if n := l.stalls.check(); n > 0 {
		client, _ := l.connection()
		client.CloseIdleConnections()
		l.opts.Log.WithField("connections", n).Warn("connections to the target stalled, closed them")
	}
}
