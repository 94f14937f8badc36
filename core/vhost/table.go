package vhost

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"trefoilthread/core/types"
)

// WeightedService is a service of a route and its weight in the traffic split.
type WeightedService struct {
	Service types.ServiceName
	Weight  int // relative to the sum of the route's weights; 0 sends it no requests
}

// RouteSpec describes a Route.
type RouteSpec struct {
	Name     string
	Prefix   string // path prefix; must begin and end with "/"
	Runs     types.Runs
	Attempts int               // maximum number of targets that one request may be sent to; at least 1
	Timeout  time.Duration     // maximum time that a caller waits for its answer; positive
	Goal     time.Duration     // latency goal; an answer that takes longer is worth less
	Rank     int               // priority; 0 is the highest
	Services []WeightedService // traffic split; at least one weight must be positive
	Public   bool              // requests need no API key
}

// ServiceSpec describes a service.
type ServiceSpec struct {
	Name           types.ServiceName
	MaxConnections int    // maximum number of connections that one target accepts
	HealthPath     string // URL path of the targets' health check
	// ColdTime is how long a target stays cold after a start: it takes only ColdRate calls
	// a second then. 0 if unknown.
	ColdTime time.Duration
	// ColdRate is the number of calls a second that a cold target takes, 0 for no limit.
	ColdRate float64
}

// checkCold returns an error for a time or rate of cold targets that isn't allowed.
func (s ServiceSpec) checkCold() error {
	if s.ColdTime < 0 || s.ColdRate < 0 || math.IsNaN(s.ColdRate) || math.IsInf(s.ColdRate, 0) {
		return fmt.Errorf("service %s: cold for %s with %v calls/s, allowed are finite values from 0", s.Name, s.ColdTime, s.ColdRate)
	}
	return nil
}

// Bounds limits the size of requests and the time that callers may take to send
// them. New does not check its fields.
type Bounds struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // maximum time to send a header once its first byte has arrived
	IdleTimeout   time.Duration // maximum time that a connection waits for a request, or for the body of one
}

// TableSpec describes a Table.
type TableSpec struct {
	Version   int64                  // positive
	Hosts     map[string][]RouteSpec // by host name without a port; names must differ in more than case
	Services  []ServiceSpec
	Customers []CustomerSpec // if it isn't nil, requests need an API key, even if it is empty
	Bounds    Bounds
}

// Table holds the routes, services and limits of one configuration version. It
// is immutable and safe for concurrent use.
type Table struct {
	version   int64
	hosts     map[string][]*Route // by lower-case host name; longest prefix first
	services  map[types.ServiceName]ServiceSpec
	customers map[types.CustomerName]*Customer
	hasKeys   bool                 // requests need an API key
	keys      map[string]*Customer // by API key
	bounds    Bounds
}

// New checks s and returns its table. The error joins one error for each invalid
// route and customer and one for an invalid version; if it is not nil, the table is incomplete
// and must not be used. If two routes of a host have the same prefix, the first
// one is used; if two services have the same name, the last one is.
func New(s TableSpec) (*Table, error) {
	t := &Table{
		version:   s.Version,
		hosts:     make(map[string][]*Route, len(s.Hosts)),
		services:  make(map[types.ServiceName]ServiceSpec, len(s.Services)),
		customers: make(map[types.CustomerName]*Customer, len(s.Customers)),
		hasKeys:   s.Customers != nil,
		keys:      make(map[string]*Customer),
		bounds:    s.Bounds,
	}
	var errs []error
	if s.Version <= 0 {
		errs = append(errs, fmt.Errorf("version %d is not positive", s.Version))
	}
	for _, sv := range s.Services {
		if err := sv.checkCold(); err != nil {
			errs = append(errs, err)
		}
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
	errs = append(errs, t.addCustomers(s.Customers))
	return t, errors.Join(errs...)
}

// Version returns the configuration version. A higher version is newer.
func (t *Table) Version() int64 { return t.version }

// Bounds returns the limits on what callers may send.
func (t *Table) Bounds() Bounds { return t.bounds }

// Service returns the description of the named service, and false if it is not
// defined.
func (t *Table) Service(name types.ServiceName) (ServiceSpec, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Len returns the number of routes of all hosts.
func (t *Table) Len() int {
	n := 0
	for _, routes := range t.hosts {
		n += len(routes)
	}
	return n
}

// Lookup returns the route of host with the longest prefix that path begins with,
// and false if there is none. A port in host and a query in path are ignored. The
// prefix "/a/" does not match the path "/a".
func (t *Table) Lookup(host, path string) (*Route, bool) {
	path, _, _ = strings.Cut(path, "?")
	for _, r := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.spec.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// hostName returns host in lower case and without its port. A colon within a
// bracketed IPv6 address does not begin a port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
