package main

import (
	"context"
	"os"
	"os/signal"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/io/demo"
	"trefoilthread/io/deploy"
	"trefoilthread/io/logs"
)

type demoCmd struct {
	Deployment string        `help:"Deployment to run: ${enum}." enum:"tiram,qatt" default:"tiram"`
	Duration   time.Duration `help:"How long to send calls." default:"5s"`
	Load       float64       `help:"Rate of calls as a share of what the targets can run." default:"0.1"`
	Seed       uint64        `help:"Seed of the calls." default:"1"`
	JSON       bool          `help:"Print the report as JSON."`
	LogLevel   string        `help:"Lowest level of the daemons' log lines: ${enum}." enum:"debug,info,warn,error" default:"error"`
}

// Run runs the demonstration; a broken promise is an error.
func (c *demoCmd) Run() error {
	dep, ok := deploy.Named(c.Deployment)
	if !ok {
		return errors.Newf("no deployment %q", c.Deployment)
	}
	if c.Duration <= 0 || c.Duration > time.Hour {
		return errors.Newf("duration %s, allowed above 0 to 1h", c.Duration)
	}
	if !(c.Load > 0 && c.Load <= 3) {
		return errors.Newf("load %g, allowed above 0 to 3", c.Load)
	}
	l, err := logs.New(os.Stderr, c.LogLevel, "logfmt")
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	rep, err := demo.Run(ctx, demo.Options{
		Deployment: dep, Duration: c.Duration, Load: c.Load, Seed: c.Seed, Progress: os.Stderr, Log: l,
	})
	if err != nil {
		return err
	}
	write := rep.WriteText
	if c.JSON {
		write = rep.WriteJSON
	}
	if err := write(os.Stdout); err != nil {
		return err
	}
	if !rep.Kept() {
		return errors.Newf("%d promises broken", len(rep.Broken))
	}
	return nil
}
