package daemon

import (
	"context"
	"time"

	"trefoilthread/core/route"
	"trefoilthread/core/types"
	"trefoilthread/io/entry"
	"trefoilthread/io/wire"
)

func (d *Daemon) flowOptions() entry.FlowOptions {
	return entry.FlowOptions{
		NewPicker: func(types.ServiceName) *route.Picker {
			return route.New(route.Options{
				Self: d.id, DataCentre: d.set.DataCentre(), Distance: d.distance, Seed: d.seed, Policy: d.opts.Policy,
			})
		},
		Targets: d.targets,
		Send:    d.send,
		Retry:   d.retry,
		Observe: d.observeReport,
		Clock:   d.clock,
	}
}

func (d *Daemon) distance(from, to types.DataCentre) time.Duration {
	if from == to {
		return 0
	}
	return d.set.Distance()
}

// do runs a call of a caller or of the own target.
func (d *Daemon) do(ctx context.Context, head *wire.CallHead, body *entry.Body) (*wire.Answer, error) {
	return d.flow.Do(ctx, head, body)
}
