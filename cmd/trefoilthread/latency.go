package main

import (
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"trefoilthread/io/curve"
	"trefoilthread/io/reqlog"
)

type latencyCmd struct {
	Logs  []namedFile `arg:"" help:"Logs of agents, as NAME=FILE. Files with the same name are taken together."`
	Route []string    `sep:"none" placeholder:"NAME" help:"Only this route; may be repeated."`
	Plot  string      `placeholder:"FILE" type:"path" help:"Write the latency quantiles to this file (.png, .svg or .pdf), with a panel for each route."`
	JSON  bool        `help:"Print the comparison as JSON."`
}

// namedFile is an argument NAME=FILE.
type namedFile struct{ name, file string }

// UnmarshalText reads an argument; the file's name may have further equals
// signs.
func (f *namedFile) UnmarshalText(text []byte) error {
	var ok bool
	if f.name, f.file, ok = strings.Cut(string(text), "="); !ok || f.name == "" || f.file == "" {
		return errors.Newf("%q: allowed: NAME=FILE", text)
	}
	return nil
}

// namedLog is what the files of one name say.
type namedLog struct {
	name string
	log  *reqlog.Log
}

// Validate reports arguments that leave nothing to compare.
func (c *latencyCmd) Validate() error {
	if !slices.ContainsFunc(c.Logs, func(f namedFile) bool { return f.name != c.Logs[0].name }) {
		return errors.New("name at least two logs, for example before=FILE after=FILE")
	}
	return nil
}

// Run reads the logs and prints what callers got, by route.
func (c *latencyCmd) Run() error {
	logs, err := c.read()
	if err != nil {
		return err
	}
	routes, err := c.routes(logs)
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := curve.Save(c.Plot, latencyPanels(logs, routes)...); err != nil {
			return err
		}
	}
	rep := newLatencyReport(logs, routes)
	if c.JSON {
		return printJSON(rep)
	}
	return rep.print()
}

// read reads all files. Their errors are reported together.
func (c *latencyCmd) read() ([]namedLog, error) {
	var logs []namedLog
	var faults []error
	for _, f := range c.Logs {
		i := slices.IndexFunc(logs, func(l namedLog) bool { return l.name == f.name })
		if i < 0 {
			i = len(logs)
			logs = append(logs, namedLog{f.name, reqlog.New()})
		}
		if err := f.readInto(logs[i].log); err != nil {
			faults = append(faults, err)
		}
	}
	return logs, errors.Join(faults...)
}

// readInto adds the lines of the file to a log. A file without a request is an
// error: most likely it is the wrong one.
func (f namedFile) readInto(l *reqlog.Log) error {
	in, err := os.Open(f.file)
	if err != nil {
		return err
	}
	defer func() { _ = in.Close() }()
	before := l.Lines()
	if err := l.Read(in); err != nil {
		return err
	}
	if l.Lines().Requests == before.Requests {
		return errors.Newf("%s: no request among %d lines; agents need format = json in [log] of their settings",
			f.file, l.Lines().Total-before.Total)
	}
	return nil
}

// routes returns the routes to compare, in order: those asked for, or all.
func (c *latencyCmd) routes(logs []namedLog) ([]string, error) {
	var known []string
	for _, l := range logs {
		known = append(known, l.log.Routes()...)
	}
	slices.Sort(known)
	known = slices.Compact(known)
	if len(c.Route) == 0 {
		return known, nil
	}
	for _, name := range c.Route {
		if !slices.Contains(known, name) {
			named := slices.DeleteFunc(known, func(s string) bool { return s == "" })
			return nil, errors.Newf("no request of route %q, routes in these logs: %s", name, strings.Join(named, ", "))
		}
	}
	return slices.Compact(slices.Sorted(slices.Values(c.Route))), nil
}

// latencyPanels returns a panel for each route that has answers, with a curve
// for each log.
func latencyPanels(logs []namedLog, routes []string) []curve.Panel {
	var panels []curve.Panel
	for _, route := range routes {
		p := curve.Panel{Title: "route " + route}
		hasAnswers := false
		for _, l := range logs {
			r := l.log.Route(route)
			c := curve.Curve{Name: l.name}
			if r.Answered() > 0 {
				hasAnswers = true
				c.Quantile = func(percent float64) float64 {
					ms, _ := r.Quantile(percent)
					return float64(ms)
				}
			}
			p.Curves = append(p.Curves, c)
		}
		if hasAnswers {
			panels = append(panels, p)
		}
	}
	return panels
}
