package load

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"trefoilthread/io/fleet"
	"trefoilthread/io/stand"
)

// poisonTimeout bounds the wait for the answer of a request that crashes
// targets. It is above the time for which a daemon holds such an answer.
const poisonTimeout = 3 * time.Second

// replaceTimeout bounds the replacement of one node, so that a node that does
// not come back ends the experiment with an error.
const replaceTimeout = 20 * time.Second

// injector makes the steps of faults for one fleet.
type injector struct {
	fleet *fleet.Fleet
	end   time.Duration // time of load of the policy
	rng   *rand.Rand
}

// steps returns the actions of a fault.
func (in *injector) steps(f Fault) steps {
	switch f.kind {
	case Straggler:
		return in.between(f, func(t *stand.Target, on bool) { t.SetSlowdown(factorOf(f, on)) })
	case FailFast:
		return in.between(f, func(t *stand.Target, on bool) {
			share := 0.0
			if on {
				share = f.share
			}
			t.SetFailing(share)
		})
	case LyingReports:
		return in.between(f, func(t *stand.Target, on bool) {
			t.SetLoadLie(nil)
			if on {
				t.SetLoadLie(&stand.Load{Slots: 1000})
			}
		})
	case Noisy:
		return in.noisy(f)
	case Crash:
		return in.crash(f)
	case RollingRestart:
		return in.rolling(f)
	case Poison:
		return in.poison(f)
	case Swallow:
		return in.on(f.at, f, func(t *stand.Target) error { t.SwallowOpen(); return nil })
	case StoreOutage:
		set := func(down bool) func(context.Context) error {
			return func(context.Context) error { return in.fleet.Store().SetDown(down) }
		}
		return steps{{f.at, set(true)}, {f.at + f.lasts, set(false)}}
	}
	return nil
}

// chosen returns the numbers of the nodes that a fault is for.
func (in *injector) chosen(f Fault) []int {
	var out []int
	for i, n := range in.fleet.Nodes() {
		if f.service != "" && string(n.Service().Name()) != f.service {
			continue
		}
		if f.targets == 0 || len(out) < f.targets {
			out = append(out, i)
		}
	}
	return out
}

// on acts on each chosen target at a time. Targets are looked up then, because
// a restart replaces them.
func (in *injector) on(at time.Duration, f Fault, act func(*stand.Target) error) steps {
	return steps{{at, func(context.Context) error {
		for _, i := range in.chosen(f) {
			if err := act(in.fleet.Nodes()[i].Target()); err != nil {
				return err
			}
		}
		return nil
	}}}
}

// between switches a fault on and, if it has an end, off.
func (in *injector) between(f Fault, set func(t *stand.Target, on bool)) steps {
	out := in.on(f.at, f, func(t *stand.Target) error { set(t, true); return nil })
	if f.lasts > 0 {
		out = append(out, in.on(f.at+f.lasts, f, func(t *stand.Target) error { set(t, false); return nil })...)
	}
	return out
}

func (in *injector) noisy(f Fault) steps {
	end := in.end
	if f.lasts > 0 {
		end = f.at + f.lasts
	}
	var out steps
	for at := f.at; at < end; at += f.period {
		for _, on := range []bool{true, false} {
			when := at
			if !on {
				when = at + f.period/2
			}
			out = append(out, in.on(when, f, func(t *stand.Target) error {
				t.SetSlowdown(factorOf(f, on))
				return nil
			})...)
		}
	}
	return out
}

func (in *injector) crash(f Fault) steps {
	down := in.on(f.at, f, func(t *stand.Target) error { t.Crash(); return nil })
	return append(down, in.on(f.at+f.lasts, f, (*stand.Target).Restart)...)
}

func (in *injector) rolling(f Fault) steps {
	var out steps
	for _, i := range in.chosen(f) {
		out = append(out, step{f.at, func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, replaceTimeout)
			defer cancel()
			return in.fleet.Replace(ctx, i)
		}})
	}
	return out
}

// poison sends the same request again and again, as its caller does.
func (in *injector) poison(f Fault) steps {
	var out steps
	client := &http.Client{Timeout: poisonTimeout}
	for at := f.at; at < f.at+f.lasts; at += f.period {
		out = append(out, step{at, func(ctx context.Context) error {
			entries := in.fleet.Entries()
			url := "http://" + entries[in.rng.IntN(len(entries))] + "/s/" + f.service + "/poison"
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
			if err != nil {
				return err
			}
			// Its failure is what the scenario is about.
			if resp, err := client.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			return nil
		}})
	}
	return out
}

func factorOf(f Fault, on bool) float64 {
	if on {
		return f.factor
	}
	return 1
}
