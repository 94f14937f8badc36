package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"trefoilthread/io/stand"
)

// storeCommand runs a stand-in store.
type storeCommand struct {
	lifetime
	ResponseTime time.Duration `default:"2ms" help:"Time of an answer."`
	Slow         time.Duration `help:"Time added to each answer."`
	Writes       float64       `help:"Accepted writes per second, 0 for no limit."`
	Reads        float64       `help:"Accepted reads per second, 0 for no limit."`
	History      int           `default:"10000" help:"Events that watches can ask for."`
	LoseAnswers  int           `help:"Lose the answers of this many writes."`
	DownAfter    time.Duration `help:"Begin an outage after this time."`
	DownFor      time.Duration `help:"Length of the outage, 0 for the rest of the run."`
}

// Run serves until ctx ends.
func (c *storeCommand) Run(ctx context.Context) error {
	if c.ResponseTime == 0 {
		c.ResponseTime = -1 // the option's zero value is the default
	}
	s := stand.NewStore(stand.StoreOptions{
		ResponseTime: c.ResponseTime, WritesPerSecond: c.Writes, ReadsPerSecond: c.Reads, History: c.History,
	})
	s.SetSlow(c.Slow)
	s.LoseAnswers(c.LoseAnswers)
	defer s.Close()
	if err := s.Start(c.Addr); err != nil {
		return err
	}
	down := func(down bool) func() {
		return func() {
			if err := s.SetDown(down); err != nil {
				fmt.Fprintln(os.Stderr, "standin:", err)
			}
		}
	}
	up := planned{do: down(false)}
	if c.DownFor > 0 {
		up.after = c.DownAfter + c.DownFor
	}
	return c.wait(ctx, s.Addr(), planned{c.DownAfter, down(true)}, up)
}
