package reqlog

import (
	"maps"
	"slices"
)

// Log is what the lines of one or several logs say of requests.
type Log struct {
	lines  Lines
	routes map[string]*Route
}

// New returns a log without lines.
func New() *Log { return &Log{routes: map[string]*Route{}} }

// Lines returns the numbers of lines that were read.
func (l *Log) Lines() Lines { return l.lines }

// Routes returns the names of the routes in order. The name "" stands for
// requests that were answered before they were sent to any target: their lines
// name no route.
func (l *Log) Routes() []string { return slices.Sorted(maps.Keys(l.routes)) }

// Route returns the requests of a route; a route that isn't in the log has
// none.
func (l *Log) Route(name string) *Route {
	if r := l.routes[name]; r != nil {
		return r
	}
	return &Route{}
}

// add counts a request.
func (l *Log) add(r request) {
	if l.routes[r.Route] == nil {
		l.routes[r.Route] = &Route{}
	}
	l.routes[r.Route].add(r)
}
