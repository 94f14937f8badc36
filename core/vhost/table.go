package vhost

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"trefoilthread/core/types"
)

// Part is one service of a route with its share of the requests.
type Part struct {
	Service types.ServiceName
	Weight  int // share of the sum of all weights
}

// RouteSpec lists the properties of a Route.
type RouteSpec struct {
	Name     string
	Prefix   string // of the path, begins and ends with "/"
	Runs     types.Runs
	Attempts int           // targets that one request may be sent to
	Timeout  time.Duration // longest time a caller is kept waiting
	Goal     time.Duration // time in which an answer has its full worth
	Rank     int           // 0 is the most urgent
	Parts    []Part
}

// ServiceSpec describes a service.
type ServiceSpec struct {
	Name        types.ServiceName
	Connections int    // connections a target accepts
	HealthPath  string // path of the targets' health check
}

// Bounds limit what callers may send.
type Bounds struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// TableSpec lists the properties of a Table.
type TableSpec struct {
	Version  int64
	Hosts    map[string][]RouteSpec // by host name
	Services []ServiceSpec
	Bounds   Bounds
}

// Table is one version of the routes.
type Table struct {
	version  int64
	hosts    map[string][]*Route // longest prefix first
	services map[types.ServiceName]ServiceSpec
	bounds   Bounds
}

// New checks s and returns its table. All faults are reported together.
func New(s TableSpec) (*Table, error) {
	t := &Table{
		version:  s.Version,
		hosts:    make(map[string][]*Route, len(s.Hosts)),
		services: make(map[types.ServiceName]ServiceSpec, len(s.Services)),
		bounds:   s.Bounds,
	}
	var errs []error
	if s.Version <= 0 {
		errs = append(errs, fmt.Errorf("version %d", s.Version))
	}
	for _, sv := range s.Services {
		t.services[sv.Name] = sv
	}
	for host, specs := range s.Hosts {
		routes := make([]*Route, 0, len(specs))
		for _, rs := range specs {
			r, err := newRoute(rs, t.services)
			if err != nil {
				errs = append(errs, fmt.Errorf("host %s: %w", host, err))
				continue
			}
			routes = append(routes, r)
		}
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return len(b.spec.Prefix) - len(a.spec.Prefix)
		})
		t.hosts[strings.ToLower(host)] = routes
	}
	return t, errors.Join(errs...)
}

// Version returns the version of the configuration; a higher one is newer.
func (t *Table) Version() int64 { return t.version }

// Bounds returns the limits for callers.
func (t *Table) Bounds() Bounds { return t.bounds }

// Service returns the description of a service.
func (t *Table) Service(name types.ServiceName) (ServiceSpec, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Len returns the number of routes.
func (t *Table) Len() int {
	n := 0
	for _, routes := range t.hosts {
		n += len(routes)
	}
	return n
}

// Lookup returns the route of a request. The host may carry a port, the path a
// query.
func (t *Table) Lookup(host, path string) (*Route, bool) {
	path, _, _ = strings.Cut(path, "?")
	for _, r := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.spec.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// hostName returns the lower-case name without port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
