package load

import (
	"time"

	"trefoilthread/io/deploy"
)

// Scenario is an experiment: a deployment, calls, faults and the policies that
// are compared.
type Scenario struct {
	name       string
	deployment string
	targets    int
	load       float64
	duration   time.Duration
	slice      time.Duration
	seed       uint64
	typical    time.Duration
	sigma      float64
	policies   []string
	dep        deploy.Deployment
	calls      map[string]deploy.CallChange
	rush       *rush
	faults     []Fault
}

// Name returns the name of the file without its directory.
func (s *Scenario) Name() string { return s.name }

// Deployment returns the deployment with the scenario's service times, shares,
// deadlines and worths.
func (s *Scenario) Deployment() deploy.Deployment { return s.dep }

// Duration returns the time of load of all policies together.
func (s *Scenario) Duration() time.Duration { return s.duration }

// Policies returns the names of the policies that are compared.
func (s *Scenario) Policies() []string { return s.policies }

// Faults returns the faults in the order of the file.
func (s *Scenario) Faults() []Fault { return s.faults }

// Turn returns the time of load of one policy.
func (s *Scenario) Turn() time.Duration { return s.duration / time.Duration(len(s.policies)) }

// WithDuration returns the scenario with another duration. The times of the
// faults and of the rush scale with it, slices and periods do not.
func (s *Scenario) WithDuration(d time.Duration) *Scenario {
	c := *s
	ratio := float64(d) / float64(s.duration)
	scale := func(t time.Duration) time.Duration { return time.Duration(float64(t) * ratio) }
	c.duration = d
	c.faults = append([]Fault(nil), s.faults...)
	for i := range c.faults {
		c.faults[i].at, c.faults[i].lasts = scale(c.faults[i].at), scale(c.faults[i].lasts)
	}
	if s.rush != nil {
		c.rush = &rush{at: scale(s.rush.at), lasts: scale(s.rush.lasts), load: s.rush.load}
	}
	return &c
}

// rateAt returns the calls a second at a time of a policy's load.
func (s *Scenario) rateAt(t time.Duration) float64 {
	share := s.load
	if r := s.rush; r != nil && t >= r.at && t < r.at+r.lasts {
		share = r.load
	}
	return share * Capacity(s.dep)
}
