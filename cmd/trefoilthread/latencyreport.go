package main

import (
	"fmt"
	"strconv"

	"trefoilthread/io/reqlog"
)

// latencyReport compares logs by route.
type latencyReport struct {
	Logs   []latencyLog   `json:"logs"`
	Routes []latencyRoute `json:"routes"`
}

// latencyLog tells how much of a log could be read.
type latencyLog struct {
	Name  string       `json:"name"`
	Lines reqlog.Lines `json:"lines"`
}

// latencyRoute is what callers got on a route according to one log. Values that
// need a request with a goal, or an answer, are nil without one.
type latencyRoute struct {
	Route            string   `json:"route"`
	Log              string   `json:"log"`
	Requests         int64    `json:"requests"`
	Answered         int64    `json:"answered"`
	InGoalShare      *float64 `json:"inGoalShare"`
	P50              *int64   `json:"p50Ms"`
	P99              *int64   `json:"p99Ms"`
	P999             *int64   `json:"p999Ms"`
	HedgesPerRequest *float64 `json:"hedgesPerRequest"`
}

func newLatencyReport(logs []namedLog, routes []string) *latencyReport {
	rep := &latencyReport{Routes: []latencyRoute{}}
	for _, l := range logs {
		rep.Logs = append(rep.Logs, latencyLog{l.name, l.log.Lines()})
	}
	for _, route := range routes {
		for _, l := range logs {
			r := l.log.Route(route)
			rep.Routes = append(rep.Routes, latencyRoute{
				Route: route, Log: l.name, Requests: r.Requests(), Answered: r.Answered(),
				InGoalShare: optional(r.InGoal()), P50: optional(r.Quantile(50)), P99: optional(r.Quantile(99)), P999: optional(r.Quantile(99.9)),
				HedgesPerRequest: optional(r.Hedges()),
			})
		}
	}
	return rep
}

// optional returns a value that may be missing as a pointer.
func optional[T any](v T, ok bool) *T {
	if !ok {
		return nil
	}
	return &v
}

// print prints the report as tables.
func (rep *latencyReport) print() error {
	rows := [][]string{{"ROUTE", "LOG", "REQUESTS", "ANSWERED", "IN GOAL", "P50 MS", "P99 MS", "P99.9 MS", "HEDGES/REQUEST"}}
	for _, r := range rep.Routes {
		rows = append(rows, []string{
			orDash(r.Route), r.Log, fmt.Sprint(r.Requests), fmt.Sprint(r.Answered), share(r.InGoalShare),
			whole(r.P50), whole(r.P99), whole(r.P999), share(r.HedgesPerRequest),
		})
	}
	if err := printTable(rows); err != nil {
		return err
	}
	if _, err := fmt.Println(); err != nil {
		return err
	}
	rows = [][]string{{"LOG", "LINES", "REQUESTS", "OTHER", "UNREADABLE", "PREFIXED", "LEFT OUT"}}
	for _, l := range rep.Logs {
		n := l.Lines
		row := []string{l.Name}
		for _, v := range []int{n.Total, n.Requests, n.Other, n.Unreadable, n.Prefixed, n.LeftOut} {
			row = append(row, strconv.Itoa(v))
		}
		rows = append(rows, row)
	}
	return printTable(rows)
}

func whole(v *int64) string {
	if v == nil {
		return "-"
	}
	return strconv.FormatInt(*v, 10)
}

func share(v *float64) string {
	if v == nil {
		return "-"
	}
	return strconv.FormatFloat(*v, 'f', 4, 64)
}
