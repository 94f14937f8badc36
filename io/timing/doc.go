// Package timing waits on a clock that is passed in, and spreads waits at random.
//
// # Usage
//
//	timing.Sleep(ctx, clock, timing.JitterAround(time.Second))
package timing
