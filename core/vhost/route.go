package vhost

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"trefoilthread/core/types"
)

// Route holds the settings for requests whose path begins with one prefix. It is
// immutable.
type Route struct {
	spec        RouteSpec
	totalWeight uint64 // sum of the weights of spec.Services, above 0
}

// newRoute checks s against the known services and returns its route, or the
// first error found.
func newRoute(s RouteSpec, services map[types.ServiceName]ServiceSpec) (*Route, error) {
	r := &Route{spec: s}
	r.spec.Services = slices.Clone(s.Services)
	if !strings.HasPrefix(s.Prefix, "/") || !strings.HasSuffix(s.Prefix, "/") {
		return nil, fmt.Errorf("route %s: prefix %q must begin and end with a slash", s.Name, s.Prefix)
	}
	if s.Attempts < 1 || s.Timeout <= 0 {
		return nil, fmt.Errorf("route %s: attempts is %d and must be at least 1, timeout is %s and must be positive", s.Name, s.Attempts, s.Timeout)
	}
	for _, p := range s.Services {
		if _, ok := services[p.Service]; !ok || p.Weight < 0 {
			return nil, fmt.Errorf("route %s: service %q is not defined, or its weight %d is negative", s.Name, p.Service, p.Weight)
		}
		r.totalWeight += uint64(p.Weight)
	}
	if r.totalWeight == 0 {
		return nil, fmt.Errorf("route %s: no service has a positive weight", s.Name)
	}
	return r, nil
}

// Name returns the name that the operator gave the route.
func (r *Route) Name() string { return r.spec.Name }

// Runs returns whether a request may run more than once.
func (r *Route) Runs() types.Runs { return r.spec.Runs }

// Attempts returns the maximum number of targets that one request may be sent
// to, the first included.
func (r *Route) Attempts() int { return r.spec.Attempts }

// Timeout returns the maximum time that a caller waits for its answer.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// Goal returns the latency goal of a request; an answer that takes longer is worth
// less to the caller.
func (r *Route) Goal() time.Duration { return r.spec.Goal }

// Rank returns the priority; 0 is the highest.
func (r *Route) Rank() int { return r.spec.Rank }

// IsPublic reports whether requests need no API key.
func (r *Route) IsPublic() bool { return r.spec.Public }

// Services returns the traffic split.
func (r *Route) Services() []WeightedService { return slices.Clone(r.spec.Services) }

// Service returns the service for a request whose id hashes to h. The result
// depends on h alone. Over uniformly distributed hashes each service gets a
// share of the requests in proportion to its weight.
func (r *Route) Service(h uint64) types.ServiceName {
	offset := h % r.totalWeight
	for _, p := range r.spec.Services {
		if offset < uint64(p.Weight) {
			return p.Service
		}
		offset -= uint64(p.Weight)
	}
	return r.spec.Services[len(r.spec.Services)-1].Service
}
