package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteText writes the report as tables: the policies side by side, the calls
// by policy, the measuring cost.
func (r *Report) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	p := func(format string, a ...any) {
		// The error shows at Flush.
		_, _ = fmt.Fprintf(tw, format, a...)
	}
	p("%s on %s: %.0f calls/s of %.0f, %.1f s for each policy\n\n", r.Scenario, r.Deployment, r.Rate, r.Capacity, r.Seconds)
	p("policy\turgent p50 ms\tp99 ms\tp99.9 ms\tworth\tof best\tattempts/call\tcrashes\n")
	for _, o := range r.Policies {
		p("%s\t%.1f\t%.1f\t%.1f\t%.1f %%\t%.1f %%\t%.3f\t%d\n", o.Policy, o.UrgentP50, o.UrgentP99, o.UrgentP999,
			100*o.Answered, 100*o.OfBest, o.Attempts, o.Crashes)
	}
	p("\npolicy\tcall\tcount\tp50 ms\tp99 ms\tp99.9 ms\tnot run\tunknown\tlate\tother\terrors\tworth\toffered\tduplicates\tfalse not run\tcrossed\tcut\truns/call\n")
	for _, o := range r.Policies {
		for _, l := range o.Lines {
			p("%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%d\t%d\t%d\t%d\t%.3f\n", o.Policy, l.Call, l.Count,
				l.P50, l.P99, l.P999, l.NotRun, l.Unknown, l.Late, l.Other, l.Errors, l.Worth, l.Offered,
				l.Duplicates, l.FalseNot, l.Crossed, l.Cut, l.RunsPerCall)
		}
	}
	p("\npolicy\tservice\tmeasuring ms\tworst window ms\tbudget ms\n")
	for _, o := range r.Policies {
		for _, m := range o.Measured {
			p("%s\t%s\t%.0f\t%.0f\t%.0f\n", o.Policy, m.Service, m.Total, m.Worst, m.Budget)
		}
	}
	p("\n")
	for _, o := range r.Policies {
		if o.Missed > 0 {
			p("%s: %d calls were not sent: too many were waiting\n", o.Policy, o.Missed)
		}
	}
	if r.Kept() {
		p("all promises held\n")
	}
	for _, b := range r.Broken() {
		p("broken: %s\n", b)
	}
	return tw.Flush()
}
