package deploy

import (
	"time"

	"trefoilthread/core/config"
)

// CallChange replaces properties of a kind of call. Negative numbers and a
// deadline of 0 leave the property as it is.
type CallChange struct {
	Share    float64
	Deadline time.Duration
	Worth    float64
}

// With returns a copy of the deployment whose targets answer after typical,
// with changes by the names of calls. Shares count relative to those of the
// other calls of the service.
func (d Deployment) With(typical time.Duration, changes map[string]CallChange) Deployment {
	services := make([]Service, len(d.services))
	for i, s := range d.services {
		s.typical = typical
		s.calls = append([]Call(nil), s.calls...)
		spec := s.conf.Spec()
		sum := 0.0
		for j := range s.calls {
			// Rules and calls are created in pairs, in the same order.
			if c, ok := changes[s.calls[j].name]; ok {
				spec.Rules[j] = c.rule(spec.Rules[j])
				if c.Share >= 0 {
					s.calls[j].share = c.Share
				}
			}
			sum += s.calls[j].share
		}
		for j := range s.calls {
			if sum > 0 {
				s.calls[j].share /= sum
			}
		}
		s.conf = config.NewService(spec)
		services[i] = s
	}
	d.services = services
	return d
}

func (c CallChange) rule(r config.Rule) config.Rule {
	spec := r.Spec()
	if c.Deadline > 0 {
		spec.Deadline = c.Deadline
	}
	if c.Worth >= 0 {
		spec.Worth = c.Worth
	}
	return config.NewRule(spec)
}
