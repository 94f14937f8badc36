package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"trefoilthread/io/deploy"
	"trefoilthread/io/fleet"
	"trefoilthread/io/load"
)

const (
	readyTimeout = 30 * time.Second
	stopTimeout  = 20 * time.Second
	progressStep = time.Second
	// probeCost is the time of a target that one load query takes.
	probeCost = 6 * time.Millisecond
)

// Options configure a demonstration.
type Options struct {
	Deployment deploy.Deployment
	Duration   time.Duration
	// Load is the rate of calls as a share of what the targets can run.
	Load     float64
	Seed     uint64
	Progress io.Writer
	Log      log.Interface
}

// Run starts the deployment, sends calls for the given time, stops it
// gracefully and returns the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	f, err := fleet.Start(ctx, fleet.Options{Deployment: o.Deployment, Sigma: 0.5, Seed: o.Seed, Log: o.Log})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	rctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.WaitReady(rctx); err != nil {
		return nil, errors.Wrap(err, "deployment did not become ready")
	}
	entries := make([]string, 0, len(f.Nodes()))
	for _, n := range f.Nodes() {
		entries = append(entries, n.Daemon().CallerAddr())
	}
	rate := o.Load * load.Capacity(o.Deployment)
	g, err := load.NewGenerator(load.GeneratorOptions{
		Entries: func() []string { return entries }, Mix: load.MixOf(o.Deployment), Rate: rate, Seed: o.Seed,
	})
	if err != nil {
		return nil, err
	}
	stop := progress(o, len(f.Nodes()), rate)
	start := time.Now()
	res := g.Run(ctx, o.Duration)
	stop()
	rep := newReport(o.Deployment.Name(), rate, time.Since(start), res, f)
	sctx, cancelStop := context.WithTimeout(ctx, stopTimeout)
	defer cancelStop()
	if err := f.Stop(sctx); err != nil {
		return nil, errors.Wrap(err, "stop")
	}
	return rep, nil
}

// progress prints a line each second until the returned function is called.
func progress(o Options, nodes int, rate float64) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	start := time.Now()
	go func() {
		defer close(done)
		t := time.NewTicker(progressStep)
		defer t.Stop()
		for {
			// Progress is a courtesy; a closed terminal must not end the run.
			_, _ = fmt.Fprintf(o.Progress, "%s: %d targets, %.0f calls/s, %2.0f of %.0f s\n",
				o.Deployment.Name(), nodes, rate, time.Since(start).Seconds(), o.Duration.Seconds())
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}
