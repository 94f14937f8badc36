package daemon

import (
	"context"
	"time"

	"trefoilthread/core/types"
)

const (
	// watchdogEvery bounds how long a waiting call outlives its chance to make
	// its deadline.
	watchdogEvery = 5 * time.Millisecond
	// watchdogIdle is the longest pause while no call waits.
	watchdogIdle = 50 * time.Millisecond
	// stallShare is the part of stallAfter between two looks at the connections;
	// core/stall takes half of it for a pause of this process.
	stallShare = 5
	// silentAfter is the silence after which an idle target is tested for life:
	// targets announce themselves each second.
	silentAfter = 2500 * time.Millisecond
	aliveEvery  = time.Second
)

// checkAlive notices a target that died while no call was running on it, until
// ctx ends.
func (d *Daemon) checkAlive(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.clock.After(aliveEvery):
		}
		if d.local.State() != types.Down && d.local.Silent() > silentAfter {
			d.local.CheckDead()
		}
	}
}

// watchdog refuses waiting calls that have become late and looks for stalled
// connections, until ctx ends. It is quick only while calls wait: 200 wake-ups
// a second would take most of what an idle daemon may spend.
func (d *Daemon) watchdog(ctx context.Context) {
	idle := min(watchdogIdle, d.set.StallAfter()/stallShare)
	for {
		every := idle
		if d.local.IsWaiting() {
			every = watchdogEvery
		}
		t := d.clock.NewTimer(every)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-d.waits:
		case <-t.Chan():
			d.local.Tick()
		}
		t.Stop()
	}
}

// reloadEvery is how soon a renewed certificate is taken over.
const reloadEvery = 10 * time.Second

// renewIdentity reads the certificate files again when they change, until ctx
// ends. Connections that are open go on; new ones use the new certificate.
func (d *Daemon) renewIdentity(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.clock.After(reloadEvery):
		}
		switch changed, err := d.opts.Identity.Reload(); {
		case err != nil:
			d.log.WithError(err).Error("changed certificate not usable, keeping the former one")
		case changed:
			d.log.Info("certificate renewed")
		}
	}
}
