// Package load sends calls to daemons as callers do and measures what callers
// get.
//
// Arrivals are open-loop: calls start at times drawn beforehand, whether
// earlier ones have been answered or not, and latency counts from the time a
// call should have started. A slow system therefore cannot hide behind a
// caller that waits (coordinated omission).
//
// Each answer is checked: that it is whole, and that it belongs to the call
// that was sent. What the outcome header promises is compared with what the
// targets ran.
//
// Scenario and Experiment compare policies under faults: see Experiment for
// how, and the directory scenarios for examples.
//
// # Usage
//
//	g := load.NewGenerator(load.GeneratorOptions{Entries: addrs, Mix: mix, Rate: 200, Seed: 1})
//	res := g.Run(ctx, 10*time.Second)
//	for _, s := range res.Series() {
//		fmt.Println(s.Name(), s.Count(), s.Quantile(0.99))
//	}
//
//	s, err := load.Load("scenarios/tiram-straggler.ini")
//	rep, err := load.NewExperiment(s, os.Stderr).Run(ctx)
//	rep.WriteText(os.Stdout)
package load
