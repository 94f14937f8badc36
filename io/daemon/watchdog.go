package daemon

import (
	"context"
	"time"
)

const (
	// watchdogEvery bounds how long a waiting call outlives its chance to make
	// its deadline.
	watchdogEvery = 5 * time.Millisecond
)

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
