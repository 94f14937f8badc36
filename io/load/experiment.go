package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"
)

// Experiment compares the policies of a scenario.
//
// Each policy has a fleet of its own, and all fleets stay up during the whole
// experiment. The load alternates between them in short slices, in an order
// that is shuffled anew for each round. A shared and noisy machine disturbs
// all policies alike in this way, where one long run after the other would
// give a disturbance to a single policy. Separate fleets keep what one policy
// learned, and the queues it left, away from the others; an idle fleet costs
// little more than its heartbeats. Each slice ends when its last call is
// answered.
//
// Faults follow the time of load of each policy, which stands still between
// its slices, so every policy meets the same faults. Timers inside the daemons
// go on meanwhile. A fault whose recovery matters needs slices longer than it.
type Experiment struct {
	scenario *Scenario
	progress io.Writer
}

// NewExperiment returns an experiment that has not begun. It writes a line for
// each slice to progress.
func NewExperiment(s *Scenario, progress io.Writer) *Experiment {
	return &Experiment{scenario: s, progress: progress}
}

// Run runs the experiment and returns its report.
func (e *Experiment) Run(ctx context.Context) (*Report, error) {
	s := e.scenario
	var all []*contender
	defer func() {
		for _, c := range all {
			c.close()
		}
	}()
	for _, p := range s.policies {
		c, err := newContender(ctx, s, p)
		if err != nil {
			return nil, err
		}
		all = append(all, c)
	}
	rng := rand.New(rand.NewPCG(s.seed, 0x0e))
	turn := s.Turn()
	for spent, round := time.Duration(0), 1; spent < turn; round++ {
		d := min(s.slice, turn-spent)
		for _, i := range rng.Perm(len(all)) {
			// Progress is a courtesy; a closed terminal must not end the run.
			_, _ = fmt.Fprintf(e.progress, "%s: round %d, %s, %.1f of %.1f s\n",
				s.name, round, all[i].policy, spent.Seconds(), turn.Seconds())
			if err := all[i].slice(ctx, s, d); err != nil {
				return nil, err
			}
		}
		spent += d
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return newReport(s, all), nil
}
