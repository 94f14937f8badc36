package agent

import (
	"context"
	"time"
)

const (
	// exitMargin is the time left between the end of a graceful stop and SIGKILL.
	exitMargin = 600 * time.Millisecond
	// callerGrace is how long callers are still accepted after the readiness check has
	// begun to fail: two failed checks, one second apart.
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
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	a.isStopping.Store(true)
	a.log.Info("agent stopping")
	a.front.Drain()
	quiet := min(callerGrace, bound/2)
	sleep(ctx, a.clock, min(targetGrace, quiet))
	a.target.stop()
	sleep(ctx, a.clock, quiet-min(targetGrace, quiet))
	a.front.Close()
	err := a.front.Wait(ctx)
	for !a.target.isIdle() && ctx.Err() == nil {
		sleep(ctx, a.clock, idleCheckInterval)
	}
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

// withdraw removes this agent's record.
func (a *Agent) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), exitMargin/2)
	defer cancel()
	if err := a.registration.withdraw(ctx); err != nil {
		a.log.WithError(err).Warn("record not deleted, another agent will delete it")
	}
}
