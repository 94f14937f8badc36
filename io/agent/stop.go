package agent

import (
	"context"
	"time"

	"trefoilthread/core/grace"
	"trefoilthread/io/timing"
)

const (
	// exitMargin is the time left between the end of a graceful stop and SIGKILL.
	exitMargin = 600 * time.Millisecond
	// answerMargin is the time before the end of a graceful stop in which the last
	// responses are written.
	answerMargin = 100 * time.Millisecond
	// usualGrace is how long all requests are taken. The users count a request as cut by the
	// stop if it was sent later than three seconds after SIGTERM.
	usualGrace = 2900 * time.Millisecond
	// callerGrace is how long callers are still accepted at least after the readiness check
	// has begun to fail: two failed checks, one second apart.
	callerGrace = 2300 * time.Millisecond
	// targetGrace is how long the target still gets calls within callerGrace: the
	// restart of its agent does not concern it, and its service may have few targets.
	targetGrace = 1700 * time.Millisecond
	// idleCheckInterval is how often a stopping agent checks whether it is idle.
	idleCheckInterval = 50 * time.Millisecond
)

// Stop stops gracefully within Settings.StopTime: first the readiness check fails, then
// the target gets no more calls and callers are no longer accepted, and accepted
// requests are answered.
func (a *Agent) Stop() {
	began := a.clock.Now()
	bound := a.opts.Settings.StopTime - exitMargin
	quiet := min(callerGrace, bound/2)
	last := bound - answerMargin // requests end by then
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	running, cancelRunning := context.WithTimeout(ctx, last)
	defer cancelRunning()
	a.stop.Store(grace.New(began, grace.Options{Usual: min(usualGrace, bound/2), Length: last}))
	a.log.Info("agent stopping")
	a.front.Drain()
	defer context.AfterFunc(running, a.endRequests)()
	timing.Sleep(ctx, a.clock, min(targetGrace, quiet))
	a.target.refuseCalls()
	timing.Sleep(ctx, a.clock, quiet-min(targetGrace, quiet))
	a.awaitIdleTarget(running)
	a.front.Close()
	err := a.front.Wait(ctx)
	a.server.Drain(ctx)
	a.cancel()
	a.withdraw()
	a.server.Close()
	a.client.Close()
	for _, s := range a.httpServers {
		_ = s.Close() // the process ends anyway
	}
	l := a.log.WithField("tookMs", a.clock.Since(began).Milliseconds())
	if err != nil {
		l.WithError(err).Warn("agent stopped, requests were cut off")
		return
	}
	l.Info("agent stopped")
}

// isStopping reports whether Stop was called.
func (a *Agent) isStopping() bool { return a.stop.Load() != nil }

// endRequests ends the requests that would outlast the stop: they get an answer, which says
// that they may have run.
func (a *Agent) endRequests() {
	a.target.cut()
	a.front.Cancel()
}

// awaitIdleTarget waits until the target runs no more requests, or ctx ends. The calls that
// the target makes for them come in at the callers' address.
func (a *Agent) awaitIdleTarget(ctx context.Context) {
	for !a.target.isIdle() && ctx.Err() == nil {
		timing.Sleep(ctx, a.clock, idleCheckInterval)
	}
}

// withdraw removes this agent's record.
func (a *Agent) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), exitMargin/2)
	defer cancel()
	if err := a.registration.Withdraw(ctx); err != nil {
		a.log.WithError(err).Warn("record not deleted, another agent will delete it")
	}
}
