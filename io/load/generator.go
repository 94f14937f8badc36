package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// maxOutstanding bounds the calls of a generator that wait for an answer. At
// the bound further arrivals are counted as not sent.
const maxOutstanding = 8192

// GeneratorOptions configure a Generator.
type GeneratorOptions struct {
	// Entries returns the addresses of the daemons that take calls now.
	Entries func() []string
	Mix     []Kind
	// Rate is the mean number of calls a second.
	Rate float64
	// RateAt returns the mean rate at a time of load; nil for always Rate.
	RateAt func(time.Duration) float64
	Seed   uint64
}

// Generator sends calls at random times of a given mean rate.
type Generator struct {
	opts   GeneratorOptions
	rng    *rand.Rand
	caller *caller
	keys   int
	run    string
	spent  time.Duration // time of load of the slices so far
}

// NewGenerator returns a generator whose sequence of calls follows from the
// seed.
func NewGenerator(o GeneratorOptions) (*Generator, error) {
	if len(o.Entries()) == 0 {
		return nil, errNoEntries
	}
	rng := rand.New(rand.NewPCG(o.Seed, 0x10ad))
	return &Generator{opts: o, rng: rng, caller: newCaller(64), run: fmt.Sprintf("%08x", rng.Uint32())}, nil
}

// Run sends calls for the given time and waits for their answers.
func (g *Generator) Run(ctx context.Context, d time.Duration) *Result {
	res := newResult(g.opts.Mix)
	g.Slice(ctx, d, res)
	g.Close()
	return res
}

// Close closes the idle connections to the daemons.
func (g *Generator) Close() { g.caller.http.CloseIdleConnections() }

// Slice sends calls for the given time, waits for their answers and adds them
// to res. Connections stay open for the next slice.
func (g *Generator) Slice(ctx context.Context, d time.Duration, res *Result) {
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxOutstanding)
	start := time.Now()
	due := start
	for {
		due = due.Add(time.Duration(g.rng.ExpFloat64() / g.rate(due.Sub(start)) * float64(time.Second)))
		if due.Sub(start) >= d || ctx.Err() != nil {
			break
		}
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		i, addr, key := g.next()
		select {
		case sem <- struct{}{}:
		default:
			res.missed++
			continue
		}
		wg.Add(1)
		go func(due time.Time) {
			defer wg.Done()
			res.series[i].add(g.caller.call(ctx, addr, g.opts.Mix[i], key, due))
			<-sem
		}(due)
	}
	wg.Wait()
	g.spent += d
}

// rate returns the mean rate at a time of the running slice.
func (g *Generator) rate(t time.Duration) float64 {
	if g.opts.RateAt == nil {
		return g.opts.Rate
	}
	return g.opts.RateAt(g.spent + t)
}

// next draws the kind, entry and key of the next call.
func (g *Generator) next() (kind int, addr, key string) {
	x := g.rng.Float64()
	for i, k := range g.opts.Mix {
		kind = i
		if x -= k.share; x < 0 {
			break
		}
	}
	entries := g.opts.Entries()
	addr = entries[g.rng.IntN(len(entries))]
	if g.opts.Mix[kind].call.Keyed() {
		g.keys++
		key = fmt.Sprintf("%s-%d", g.run, g.keys)
	}
	return kind, addr, key
}
