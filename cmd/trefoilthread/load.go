package main

import (
	"context"
	"os"
	"os/signal"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/io/load"
)

type loadCmd struct {
	File     string        `arg:"" help:"Scenario file." type:"path"`
	JSON     bool          `help:"Print the report as JSON."`
	Plot     string        `help:"Write the latency quantiles by policy to this file (.png, .svg or .pdf)." placeholder:"FILE" type:"path"`
	Duration time.Duration `help:"Time of load of all policies together, instead of the scenario's."`
}

// Run runs a scenario; a broken promise is an error.
func (c *loadCmd) Run() error {
	s, err := load.Load(c.File)
	if err != nil {
		return showFaults(c.File, err)
	}
	if c.Duration < 0 || c.Duration > time.Hour {
		return errors.Newf("duration %s, allowed above 0 to 1h", c.Duration)
	}
	if c.Duration > 0 {
		s = s.WithDuration(c.Duration)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	rep, err := load.NewExperiment(s, os.Stderr).Run(ctx)
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := rep.WritePlot(c.Plot); err != nil {
			return err
		}
	}
	write := rep.WriteText
	if c.JSON {
		write = rep.WriteJSON
	}
	if err := write(os.Stdout); err != nil {
		return err
	}
	if n := len(rep.Broken()); n > 0 {
		return errors.Newf("%d promises broken", n)
	}
	return nil
}
