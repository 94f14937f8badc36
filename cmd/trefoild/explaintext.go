package main

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"trefoilthread/io/agent"
)

// explainText returns an explanation as text.
func explainText(x *agent.Explanation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "configuration: version %d, store known as of %s, requests with keys %s\n",
		x.Config, age(x.StoreAgeMs), choose(x.KeysServed, "served", "refused"))
	fmt.Fprintf(&b, "route: %s, rank %d, %s, attempts %d%s\n", x.Route.Name, x.Route.Rank,
		choose(x.Route.AtMostOnce, "at most once", "idempotent"), x.Route.Attempts, choose(x.Route.Public, ", public", ""))
	if c := x.Customer; c != nil {
		fmt.Fprintf(&b, "customer: %s, rank %d, %s\n", c.Name, c.Rank, quotaText(c))
	}
	writeRefusal(&b, x.Refusal)
	for i := range x.Services {
		writeService(&b, &x.Services[i])
	}
	return b.String()
}

func choose(ok bool, yes, no string) string {
	if ok {
		return yes
	}
	return no
}

// age returns an age in milliseconds as text; a negative one is unknown.
func age(ms int64) string {
	if ms < 0 {
		return "an unknown time"
	}
	return fmt.Sprintf("%d ms ago", ms)
}

func quotaText(c *agent.ExplainedCustomer) string {
	if c.RequestsPerS == 0 {
		return "no quota"
	}
	return fmt.Sprintf("quota %g/s and burst %g, %s", c.RequestsPerS, c.Burst, choose(c.UsedUp, "used up", "not known to be used up"))
}

func writeRefusal(b *strings.Builder, r *agent.ExplainedRefusal) {
	if r != nil {
		fmt.Fprintf(b, "refused: status %d, %s\n", r.Status, r.Reason)
	}
}

func writeService(b *strings.Builder, s *agent.ExplainedService) {
	fmt.Fprintf(b, "\nservice %s, weight %d%s\n", s.Name, s.Weight, choose(s.Chosen, ", chosen for the id", ""))
	if s.Target != "" {
		fmt.Fprintf(b, "target: %s%s\n", s.Target, choose(s.BodyOffered, ", body offered before it is sent", ""))
	}
	writeRefusal(b, s.Refusal)
	if s.NoHedge != "" {
		fmt.Fprintf(b, "hedge: none, %s\n", s.NoHedge)
	} else {
		fmt.Fprintf(b, "hedge: after %g ms\n", s.HedgeAfterMs)
	}
	var rows strings.Builder
	w := tabwriter.NewWriter(&rows, 0, 0, 2, ' ', 0)
	for i := range s.Targets {
		t := &s.Targets[i]
		_, _ = fmt.Fprintf(w, "  %s\t%s\t%.3f ms\t%s\n", t.Target, t.DataCentre, t.Score, targetText(t)) // a strings.Builder doesn't fail
	}
	_ = w.Flush() // a strings.Builder doesn't fail
	for line := range strings.Lines(rows.String()) {
		b.WriteString(strings.TrimRight(line, " \n") + "\n")
	}
}

// targetText returns what there is to say of a target besides its score.
func targetText(t *agent.ExplainedTarget) string {
	list := []string{choose(t.Excluded == "", "eligible", t.Excluded)}
	if t.Trial {
		list = append(list, "suspended and due for a trial call")
	}
	if t.ColdRate > 0 {
		list = append(list, fmt.Sprintf("cold: %g/s, next call in %g ms", t.ColdRate, t.StartInMs))
	}
	if g := t.Gate; g != nil {
		list = append(list, "beside this daemon, gate: "+g.Verdict+choose(g.Reason != "", " ("+g.Reason+")", ""))
	}
	return strings.Join(list, ", ")
}
