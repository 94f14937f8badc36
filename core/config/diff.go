package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"trefoilthread/core/types"
)

// Diff returns the properties in which b differs from a, one line each, for
// example "slots: 12 -> 15". A rule is identified by method and path; lines
// for rules follow the other properties, and a change of the order only is one
// line. Versions are not compared. Either may be the zero Service.
func Diff(a, b Service) []string {
	var out []string
	line := func(key, x, y string) {
		if x != y {
			out = append(out, key+": "+orNone(x)+" -> "+orNone(y))
		}
	}
	p, q := a.spec, b.spec
	number := func(key string, x, y int64) { line(key, strconv.FormatInt(x, 10), strconv.FormatInt(y, 10)) }
	line("name", string(p.Name), string(q.Name))
	line("dataCentres", joinNames(p.DataCentres), joinNames(q.DataCentres))
	number("slots", int64(p.Slots), int64(q.Slots))
	number("connections", int64(p.Connections), int64(q.Connections))
	line("probeBudget", p.ProbeBudget.String(), q.ProbeBudget.String())
	line("retryShare", formatFloat(p.RetryShare), formatFloat(q.RetryShare))
	line("hedgeShare", formatFloat(p.HedgeShare), formatFloat(q.HedgeShare))
	number("maxBodyBytes", p.MaxBodyBytes, q.MaxBodyBytes)
	return append(out, diffRules(p.Rules, q.Rules)...)
}

func diffRules(a, b []Rule) []string {
	same := func(r Rule) func(Rule) bool {
		return func(o Rule) bool { return r.Method() == o.Method() && r.Path() == o.Path() }
	}
	var out []string
	var keptA, keptB []string
	for _, r := range a {
		if i := slices.IndexFunc(b, same(r)); i < 0 {
			out = append(out, fmt.Sprintf("rule %s %s: removed (%s)", r.Method(), r.Path(), describe(r)))
		} else {
			keptA = append(keptA, r.Method()+" "+r.Path())
			if r != b[i] {
				out = append(out, fmt.Sprintf("rule %s %s: %s", r.Method(), r.Path(), diffRule(r, b[i])))
			}
		}
	}
	for _, r := range b {
		if !slices.ContainsFunc(a, same(r)) {
			out = append(out, fmt.Sprintf("rule %s %s: added (%s)", r.Method(), r.Path(), describe(r)))
		} else {
			keptB = append(keptB, r.Method()+" "+r.Path())
		}
	}
	if !slices.Equal(keptA, keptB) {
		out = append(out, "rules: order "+strings.Join(keptA, ", ")+" -> "+strings.Join(keptB, ", "))
	} else if len(out) == 0 && !slices.Equal(a, b) {
		out = append(out, "rules: order changed")
	}
	return out
}

// diffRule returns the properties that differ, so that the changed value is not
// lost where an audit entry shortens the line.
func diffRule(a, b Rule) string {
	var out []string
	change := func(key, x, y string) {
		if x != y {
			out = append(out, key+" "+x+" -> "+y)
		}
	}
	p, q := a.spec, b.spec
	change("urgent", strconv.FormatBool(p.Urgent), strconv.FormatBool(q.Urgent))
	change("runs", p.Runs.String(), q.Runs.String())
	change("deadline", p.Deadline.String(), q.Deadline.String())
	change("worth", formatFloat(p.Worth), formatFloat(q.Worth))
	return strings.Join(out, ", ")
}

func describe(r Rule) string {
	s := r.spec.Runs.String()
	if r.spec.Urgent {
		s = "urgent, " + s
	}
	return s + ", deadline " + r.spec.Deadline.String() + ", worth " + formatFloat(r.spec.Worth)
}

func joinNames(names []types.DataCentre) string {
	s := make([]string, len(names))
	for i, n := range names {
		s[i] = string(n)
	}
	return strings.Join(s, ", ")
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
