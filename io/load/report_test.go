package load_test

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/types"
	"trefoilthread/io/deploy"
	"trefoilthread/io/load"
)

// Guards against promise checks that cannot fail: each fake series breaks one
// promise, and exactly that one must be reported.
func TestBrokenPromises(t *testing.T) {
	mix := load.MixOf(deploy.Small(2, time.Millisecond))
	done := func(c load.Call) load.Call {
		c.Outcome, c.Status, c.Latency = types.Done, 200, time.Millisecond
		return c
	}
	for _, c := range []struct {
		name  string
		call  load.Call
		runs  int
		spent float64
		want  string
	}{
		{"kept", done(load.Call{Kind: 1, Key: "k"}), 1, 10, ""},
		{"kept refusal", load.Call{Kind: 1, Key: "k", Outcome: types.NotRun}, 0, 10, ""},
		{"duplicate", done(load.Call{Kind: 1, Key: "k"}), 2, 0, "write: keys that ran more than once: 1"},
		{"unknown duplicate", load.Call{Kind: 1, Key: "k"}, 2, 0, "write: keys that ran more than once: 1"},
		{"keyed refusal ran", load.Call{Kind: 1, Key: "k", Outcome: types.NotRun}, 1, 0, "write: calls refused as not run that ran: 1"},
		{"refusal ran", load.Call{Kind: 0, Request: "r", Outcome: types.NotRun}, 1, 0, "read: calls refused as not run that ran: 1"},
		{"crossed", done(load.Call{Kind: 0, Crossed: true}), 1, 0, "read: answers of another call: 1"},
		{"cut", done(load.Call{Kind: 0, Cut: true}), 1, 0, "read: answers cut short: 1"},
		{"measuring", done(load.Call{Kind: 0}), 1, 10.5, "echo: measuring cost 10.5 ms in a window, budget 10.0 ms"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := load.ReportOf(mix, []load.Call{c.call}, func(string) int { return c.runs },
				[]load.Measuring{{Service: "echo", Worst: c.spent, Budget: 10}})
			got := strings.Join(r.Broken(), "\n")
			if c.want == "" {
				is.Equal(got, "")
				return
			}
			is.True(strings.HasSuffix(got, c.want))
			is.Equal(len(r.Broken()), 1)
		})
	}
}

// Guards against a burst of probes that an average over the run would hide.
func TestMostWithin(t *testing.T) {
	is := is.New(t)
	at := time.Unix(0, 0)
	var times []time.Time
	for _, ms := range []int{5000, 0, 1000, 1999, 2500} {
		times = append(times, at.Add(time.Duration(ms)*time.Millisecond))
	}
	is.Equal(load.MostWithin(times, time.Second), 2) // 1000 and 1999, 1999 and 2500
	is.Equal(load.MostWithin(times, 1501*time.Millisecond), 3)
	is.Equal(load.MostWithin(nil, time.Second), 0)
}

// Guards against an answered worth that counts late urgent answers, and
// against a bound that ignores the capacity or the order of worth.
func TestWorth(t *testing.T) {
	is := is.New(t)
	dep := deploy.Small(1, 120*time.Millisecond) // 12 slots: 100 calls/s
	mix := load.MixOf(dep)
	r := load.ReportOf(mix, []load.Call{
		{Kind: 0, Outcome: types.Done, Status: 200, Latency: 3 * time.Second},
		{Kind: 0, Outcome: types.Done, Status: 200, Latency: time.Second},
		{Kind: 1, Outcome: types.Done, Status: 500},
	}, func(string) int { return 1 }, nil)
	is.Equal(r.Policies[0].Lines[0].Worth, 1.0)
	is.Equal(r.Policies[0].Lines[0].Offered, 2.0)
	is.Equal(r.Policies[0].Lines[1].Worth, 0.0)
	is.Equal(load.BestWorth(dep, mix, []int{90, 30}, time.Second), 30*10+70*1.0)
	is.Equal(load.BestWorth(dep, mix, []int{90, 30}, 2*time.Second), 30*10+90*1.0)
}

// Guards against an experiment that does not run all policies, injects no
// faults, or whose report or plot cannot be written.
func TestExperiment(t *testing.T) {
	is := is.New(t)
	s, err := load.Parse("e2e.ini", []byte(`[scenario]
deployment = small
targets = 3
load = 0.1
duration = 1600ms
slice = 200ms
serviceTime = 10ms
policies = weighted, random
[fault one]
kind = crash
at = 300ms
for = 200ms
targets = 1
[fault two]
kind = failFast
at = 200ms
for = 100ms
targets = 1
[fault three]
kind = noisy
period = 100ms
targets = 1
`))
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := load.NewExperiment(s, io.Discard).Run(ctx)
	is.NoErr(err)
	is.Equal(len(r.Policies), 2)
	for _, p := range r.Policies {
		is.Equal(p.Crashes, 1)
		is.True(p.Lines[0].Count > 0 && p.Lines[1].Count > 0)
		is.True(p.Attempts > 0)
	}
	is.Equal(r.Policies[0].Lines[0].Count, r.Policies[1].Lines[0].Count) // both got the same calls
	is.Equal(r.Broken(), nil)
	is.NoErr(r.WriteText(io.Discard))
	is.NoErr(r.WriteJSON(io.Discard))
	file := filepath.Join(t.TempDir(), "plot.png")
	is.NoErr(r.WritePlot(file))
	st, err := os.Stat(file)
	is.NoErr(err)
	is.True(st.Size() > 0)
}
