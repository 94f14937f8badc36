package vhost

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"trefoilthread/core/types"
)

// Route tells how requests below one path prefix are treated.
type Route struct {
	spec  RouteSpec
	total uint64 // sum of the weights
}

func newRoute(s RouteSpec, services map[types.ServiceName]ServiceSpec) (*Route, error) {
	r := &Route{spec: s}
	r.spec.Parts = slices.Clone(s.Parts)
	if !strings.HasPrefix(s.Prefix, "/") || !strings.HasSuffix(s.Prefix, "/") {
		return nil, fmt.Errorf("route %s: prefix %q must begin and end with a slash", s.Name, s.Prefix)
	}
	if s.Attempts < 1 || s.Timeout <= 0 {
		return nil, fmt.Errorf("route %s: %d attempts, timeout %s", s.Name, s.Attempts, s.Timeout)
	}
	for _, p := range s.Parts {
		if _, ok := services[p.Service]; !ok || p.Weight < 0 {
			return nil, fmt.Errorf("route %s: service %q with weight %d", s.Name, p.Service, p.Weight)
		}
		r.total += uint64(p.Weight)
	}
	if r.total == 0 {
		return nil, fmt.Errorf("route %s: no service with a weight", s.Name)
	}
	return r, nil
}

// Name returns the operator's name of the route.
func (r *Route) Name() string { return r.spec.Name }

// Runs tells how often a request may run.
func (r *Route) Runs() types.Runs { return r.spec.Runs }

// Attempts returns the number of targets one request may be sent to.
func (r *Route) Attempts() int { return r.spec.Attempts }

// Timeout returns the longest time a caller is kept waiting.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// Goal returns the time in which an answer has its full worth.
func (r *Route) Goal() time.Duration { return r.spec.Goal }

// Rank returns the urgency; 0 is the highest.
func (r *Route) Rank() int { return r.spec.Rank }

// Service returns the service for a request whose id hashes to h. Uniform
// hashes give each part its weight's share.
func (r *Route) Service(h uint64) types.ServiceName {
	at := h % r.total
	for _, p := range r.spec.Parts {
		if at < uint64(p.Weight) {
			return p.Service
		}
		at -= uint64(p.Weight)
	}
	return r.spec.Parts[len(r.spec.Parts)-1].Service
}
