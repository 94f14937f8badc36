package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"trefoilthread/io/fleet"
	"trefoilthread/io/load"
)

// Probing is the measuring cost of one service.
type Probing struct {
	Service string  `json:"service"`
	Spent   float64 `json:"spentMs"`
	Budget  float64 `json:"budgetMs"`
}

// Report is what a demonstration measured.
type Report struct {
	Deployment string      `json:"deployment"`
	Seconds    float64     `json:"seconds"`
	Rate       float64     `json:"callsPerSecond"`
	Lines      []load.Line `json:"calls"`
	Probing    []Probing   `json:"measuring"`
	Missed     int         `json:"notSent"`
	Broken     []string    `json:"brokenPromises"`
}

func newReport(name string, rate float64, took time.Duration, res *load.Result, f *fleet.Fleet) *Report {
	r := &Report{Deployment: name, Seconds: took.Seconds(), Rate: rate, Missed: res.Missed()}
	for _, s := range res.Series() {
		r.Lines = append(r.Lines, load.NewLine(s, f.Runs))
	}
	r.probing(took, f)
	for _, l := range r.Lines {
		what := l.Service + ": " + l.Call
		r.broken(l.Duplicates, what+": keys that ran more than once")
		r.broken(l.FalseNot, what+": calls refused as not run that ran")
		r.broken(l.Crossed, what+": answers of another call")
		r.broken(l.Cut, what+": answers cut short")
	}
	for _, p := range r.Probing {
		if p.Spent > p.Budget {
			r.Broken = append(r.Broken, fmt.Sprintf("%s: measuring cost %.0f ms, budget %.0f ms", p.Service, p.Spent, p.Budget))
		}
	}
	return r
}

func (r *Report) broken(n int, what string) {
	if n > 0 {
		r.Broken = append(r.Broken, fmt.Sprintf("%s: %d", what, n))
	}
}

// probing adds up what load queries cost the targets. The budget of a service
// is per target and second; a window that has begun counts in full.
func (r *Report) probing(took time.Duration, f *fleet.Fleet) {
	index := map[string]int{}
	for _, n := range f.Nodes() {
		name := string(n.Service().Name())
		i, ok := index[name]
		if !ok {
			i = len(r.Probing)
			index[name] = i
			r.Probing = append(r.Probing, Probing{Service: name})
		}
		st := n.Target().Stats()
		ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
		r.Probing[i].Spent += ms(time.Duration(st.HealthProbes+st.LoadProbes) * probeCost)
		r.Probing[i].Budget += ms(n.Service().Config().ProbeBudget()) * float64(int(took.Seconds())+1)
	}
}

// Kept reports whether all promises held.
func (r *Report) Kept() bool { return len(r.Broken) == 0 }

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteText writes the report as a table.
func (r *Report) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	p := func(format string, a ...any) {
		// The error shows at Flush.
		_, _ = fmt.Fprintf(tw, format, a...)
	}
	p("\n%s: %.0f calls/s for %.1f s\n\n", r.Deployment, r.Rate, r.Seconds)
	p("service\tcall\tcount\tp50 ms\tp99 ms\tp99.9 ms\tnot run\tunknown\tlate\terrors\tduplicates\n")
	for _, l := range r.Lines {
		p("%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%d\n", l.Service, l.Call, l.Count, l.P50, l.P99, l.P999,
			l.NotRun, l.Unknown, l.Late, l.Errors, l.Duplicates)
	}
	p("\nservice\tmeasuring ms\tbudget ms\n")
	for _, m := range r.Probing {
		p("%s\t%.0f\t%.0f\n", m.Service, m.Spent, m.Budget)
	}
	if r.Missed > 0 {
		p("\n%d calls were not sent: too many were waiting\n", r.Missed)
	}
	if r.Kept() {
		p("\nall promises held\n")
	}
	for _, b := range r.Broken {
		p("\nbroken: %s\n", b)
	}
	return tw.Flush()
}
