package load

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/route"
	"trefoilthread/io/fleet"
)

const (
	readyTimeout = 30 * time.Second
	// warmTime is the load before measuring, in which connections open and
	// averages settle.
	warmTime = 500 * time.Millisecond
	// poisonRestart is the time from a crash by a request to the restart.
	poisonRestart = 300 * time.Millisecond
)

// contender is one policy with a fleet of its own.
type contender struct {
	policy  string
	fleet   *fleet.Fleet
	gen     *Generator
	res     *Result
	steps   steps
	spent   time.Duration // time of load
	best    float64
	warmed  int // requests at targets before measuring
	crashed int // crashes before measuring
}

// newContender starts a fleet with the policy and warms it up.
func newContender(ctx context.Context, s *Scenario, policy string) (*contender, error) {
	p, ok := route.ParsePolicy(policy)
	if !ok {
		return nil, errors.Newf("no policy %q", policy)
	}
	o := fleet.Options{Deployment: s.dep, Sigma: s.sigma, Seed: s.seed, Policy: p}
	for _, f := range s.faults {
		if f.kind == Poison {
			o.RestartAfter = poisonRestart
		}
	}
	c := &contender{policy: policy}
	var err error
	if c.fleet, err = fleet.Start(ctx, o); err != nil {
		return nil, err
	}
	if err := c.prepare(ctx, s); err != nil {
		c.close()
		return nil, errors.Wrapf(err, "policy %s", policy)
	}
	return c, nil
}

func (c *contender) prepare(ctx context.Context, s *Scenario) error {
	rctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := c.fleet.WaitReady(rctx); err != nil {
		return errors.Wrap(err, "deployment did not become ready")
	}
	mix := MixOf(s.dep)
	warm, err := NewGenerator(GeneratorOptions{
		Entries: c.fleet.Entries, Mix: mix, Rate: min(s.load, 0.5) * Capacity(s.dep), Seed: s.seed + 1,
	})
	if err != nil {
		return err
	}
	warm.Run(ctx, warmTime)
	// All policies get the same seed and so the same calls at the same times.
	if c.gen, err = NewGenerator(GeneratorOptions{
		Entries: c.fleet.Entries, Mix: mix, RateAt: s.rateAt, Seed: s.seed,
	}); err != nil {
		return err
	}
	c.res = newResult(mix)
	in := &injector{fleet: c.fleet, end: s.Turn(), rng: rand.New(rand.NewPCG(s.seed, 0xfa))}
	for _, f := range s.faults {
		c.steps = append(c.steps, in.steps(f)...)
	}
	c.steps = c.steps.sorted()
	c.warmed, c.crashed = c.requests()
	return nil
}

// slice sends calls for d while the faults of that time occur.
func (c *contender) slice(ctx context.Context, s *Scenario, d time.Duration) error {
	before := c.counts()
	done := make(chan error, 1)
	start := time.Now()
	go func() {
		var err error
		c.steps, err = c.steps.run(ctx, c.spent, d)
		done <- err
	}()
	c.gen.Slice(ctx, d, c.res)
	// Answers that arrive after the last arrival also used the targets.
	took := time.Since(start)
	err := <-done
	c.spent += d
	counts := c.counts()
	for i := range counts {
		counts[i] -= before[i]
	}
	c.best += bestWorth(s.dep, c.gen.opts.Mix, counts, took)
	return errors.Wrapf(err, "policy %s", c.policy)
}

// counts returns the calls sent by kind.
func (c *contender) counts() []int {
	var out []int
	for _, s := range c.res.series {
		out = append(out, s.Count())
	}
	return out
}

// requests returns the requests that reached targets, and their crashes.
func (c *contender) requests() (requests, crashes int) {
	for _, n := range c.fleet.Nodes() {
		for _, t := range n.Targets() {
			st := t.Stats()
			requests += st.Requests
			crashes += st.Crashes
		}
	}
	return requests, crashes
}

func (c *contender) close() {
	if c.gen != nil {
		c.gen.Close()
	}
	c.fleet.Close()
}
