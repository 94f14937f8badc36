package config

import (
	"slices"
	"strings"
	"time"

	"trefoilthread/core/types"
)

// ServiceSpec lists the properties of a Service.
type ServiceSpec struct {
	Name types.ServiceName
	// DataCentres are those the service may run in; NewService sorts them.
	DataCentres []types.DataCentre
	// Slots is the number of calls a target runs at a time.
	Slots int
	// Connections is the number of connections to a target.
	Connections int
	// ProbeBudget is the time of a target that measurement may take in each
	// second.
	ProbeBudget time.Duration
	// RetryShare bounds retries as a share of calls.
	RetryShare float64
	// HedgeShare bounds hedged requests as a share of calls.
	HedgeShare float64
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int64
	// Rules are in order of precedence.
	Rules []Rule
	// Version is the version of the document that last changed the service.
	// Apply sets it.
	Version int64
}

// Service is the immutable configuration of one service.
type Service struct {
	spec ServiceSpec
}

// NewService returns the service with the given properties, unchecked. It
// copies the slices of s.
func NewService(s ServiceSpec) Service {
	s.DataCentres = slices.Clone(s.DataCentres)
	slices.Sort(s.DataCentres)
	s.Rules = slices.Clone(s.Rules)
	return Service{spec: s}
}

// Spec returns a copy of the properties.
func (s Service) Spec() ServiceSpec {
	spec := s.spec
	spec.DataCentres = slices.Clone(spec.DataCentres)
	spec.Rules = slices.Clone(spec.Rules)
	return spec
}

// Name returns the name of the service.
func (s Service) Name() types.ServiceName { return s.spec.Name }

// DataCentres returns a copy of the data centres, sorted.
func (s Service) DataCentres() []types.DataCentre { return slices.Clone(s.spec.DataCentres) }

// RunsIn reports whether the service may run in a data centre.
func (s Service) RunsIn(dc types.DataCentre) bool {
	_, ok := slices.BinarySearch(s.spec.DataCentres, dc)
	return ok
}

// Slots returns the number of calls a target runs at a time.
func (s Service) Slots() int { return s.spec.Slots }

// Connections returns the number of connections to a target.
func (s Service) Connections() int { return s.spec.Connections }

// ProbeBudget returns the time of a target that measurement may take in each
// second.
func (s Service) ProbeBudget() time.Duration { return s.spec.ProbeBudget }

// RetryShare returns the bound of retries as a share of calls.
func (s Service) RetryShare() float64 { return s.spec.RetryShare }

// HedgeShare returns the bound of hedged requests as a share of calls.
func (s Service) HedgeShare() float64 { return s.spec.HedgeShare }

// MaxBodyBytes returns the size of the largest request body in bytes.
func (s Service) MaxBodyBytes() int64 { return s.spec.MaxBodyBytes }

// Rules returns a copy of the rules in order of precedence.
func (s Service) Rules() []Rule { return slices.Clone(s.spec.Rules) }

// Version returns the version of the document that last changed the service.
func (s Service) Version() int64 { return s.spec.Version }

// WithVersion returns a copy with another version.
func (s Service) WithVersion(v int64) Service {
	s.spec.Version = v
	return s
}

// Classify returns the first rule that matches, or DefaultRule. The path may
// carry a query. It does not allocate.
func (s Service) Classify(method, path string) Rule {
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	if isPlain(path) {
		for i := range s.spec.Rules {
			if s.spec.Rules[i].matches(method, path) {
				return s.spec.Rules[i]
			}
		}
	}
	return DefaultRule()
}

// sameContent reports whether s and o differ in their version at most.
func (s Service) sameContent(o Service) bool {
	a, b := s.spec, o.spec
	return a.Name == b.Name && a.Slots == b.Slots && a.Connections == b.Connections &&
		a.ProbeBudget == b.ProbeBudget && a.RetryShare == b.RetryShare &&
		a.HedgeShare == b.HedgeShare && a.MaxBodyBytes == b.MaxBodyBytes &&
		slices.Equal(a.DataCentres, b.DataCentres) && slices.Equal(a.Rules, b.Rules)
}
