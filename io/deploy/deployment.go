package deploy

import (
	"time"

	"trefoilthread/core/config"
	"trefoilthread/core/types"
)

// Deployment is a set of data centres and the services in them.
type Deployment struct {
	name        string
	dataCentres []types.DataCentre
	between     time.Duration
	callers     time.Duration
	services    []Service
}

// Name returns the name of the deployment.
func (d Deployment) Name() string { return d.name }

// DataCentres returns the names of the data centres.
func (d Deployment) DataCentres() []types.DataCentre { return d.dataCentres }

// Between returns the one-way time between two data centres.
func (d Deployment) Between() time.Duration { return d.between }

// Callers returns the one-way time from callers to a data centre.
func (d Deployment) Callers() time.Duration { return d.callers }

// Services returns the services of the deployment.
func (d Deployment) Services() []Service { return d.services }

// Service is one service of a deployment.
type Service struct {
	conf    config.Service
	targets int
	typical time.Duration
	calls   []Call
}

// Config returns the service as operators configure it.
func (s Service) Config() config.Service { return s.conf }

// Name returns the name of the service.
func (s Service) Name() types.ServiceName { return s.conf.Name() }

// Targets returns how many targets the service has.
func (s Service) Targets() int { return s.targets }

// Typical returns the typical time a call spends in a target.
func (s Service) Typical() time.Duration { return s.typical }

// Calls returns the kinds of calls that callers make.
func (s Service) Calls() []Call { return s.calls }

// Call is one kind of call with its share of the service's calls.
type Call struct {
	name   string
	method string
	path   string
	share  float64
	keyed  bool
}

// Name returns the kind's name, for example "event deposit".
func (c Call) Name() string { return c.name }

// Method returns the HTTP method.
func (c Call) Method() string { return c.method }

// Path returns the path below the service.
func (c Call) Path() string { return c.path }

// Share returns the share of the service's calls, 0 to 1.
func (c Call) Share() float64 { return c.share }

// Keyed reports whether callers send an idempotency key.
func (c Call) Keyed() bool { return c.keyed }
