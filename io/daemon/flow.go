package daemon

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/retry"
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
		Retries: d.retries,
		Check:   d.checkPrint,
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

// retries returns the budgets that the configuration gives a service.
func (d *Daemon) retries(service types.ServiceName) (retry.BudgetOptions, retry.HedgerOptions) {
	s, _ := d.config.Document().Service(service)
	return retry.BudgetOptions{Share: s.RetryShare(), Off: s.RetryShare() == 0},
		retry.HedgerOptions{Share: s.HedgeShare(), Off: s.HedgeShare() == 0}
}

// classifyTries bounds how often a call is classified again while its service
// changes.
const classifyTries = 3

// do runs a call of a caller or of the own target. A call whose service has
// changed since it was classified is classified again; it has not run.
func (d *Daemon) do(ctx context.Context, head *wire.CallHead, body *entry.Body) (*wire.Answer, error) {
	for try := 1; ; try++ {
		ans, err := d.doClassified(ctx, head, body)
		var stale *entry.StaleError
		if !errors.As(err, &stale) || try == classifyTries || !body.Replayable() {
			return ans, err
		}
		path, _, _ := strings.Cut(head.Path, "?")
		rule, ok := d.classify(types.ServiceName(head.Service), head.Method, path)
		if !ok {
			return nil, types.NewFailure(types.NoSuchService, "the service was deleted")
		}
		rule.Apply(head)
	}
}

func (d *Daemon) doClassified(ctx context.Context, head *wire.CallHead, body *entry.Body) (*wire.Answer, error) {
	if isClaimed(head) {
		return d.once(ctx, head, body)
	}
	return d.flow.Do(ctx, head, body)
}
