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

// watchdog refuses waiting calls that have become late, until ctx ends.
func (d *Daemon) watchdog(ctx context.Context) {
	t := d.clock.NewTicker(watchdogEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
			d.local.Tick()
		}
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
