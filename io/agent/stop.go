package agent

import (
	"context"
	"time"
)

const (
	// exitMargin is left between the end of a graceful stop and SIGKILL.
	exitMargin = 600 * time.Millisecond
	// quietTime is how long callers are still accepted after the readiness
	// check has begun to fail: two misses a second apart.
	quietTime = 2300 * time.Millisecond
	// targetTime is how long the target still gets calls in that time: it has
	// nothing to do with the restart of its agent, and may be one of few.
	targetTime = 1700 * time.Millisecond
	// stopCheck is how often a stopping agent looks whether it is idle.
	stopCheck = 50 * time.Millisecond
)

// Stop stops gracefully: callers are sent away, then the target gets no more
// calls, and accepted requests are answered.
func (a *Agent) Stop() {
	began := a.clock.Now()
	bound := a.opts.Settings.StopTime - exitMargin
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	a.stopping.Store(true)
	a.log.Info("agent stopping")
	a.front.Drain()
	quiet := min(quietTime, bound/2)
	sleep(ctx, a.clock, min(targetTime, quiet))
	a.own.stop()
	sleep(ctx, a.clock, quiet-min(targetTime, quiet))
	a.front.Close()
	err := a.front.Wait(ctx)
	for !a.own.isIdle() && ctx.Err() == nil {
		sleep(ctx, a.clock, stopCheck)
	}
	a.cancel()
	a.withdraw()
	a.server.Close()
	a.client.Close()
	for _, s := range a.https {
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
	if err := a.register.withdraw(ctx); err != nil {
		a.log.WithError(err).Warn("record not withdrawn, it ends with its lease")
	}
}
