package load

import (
	"time"

	"trefoilthread/io/deploy"
)

// Kind is one kind of call in a mix.
type Kind struct {
	service string
	call    deploy.Call
	share   float64
	worth   float64
	urgent  bool
	timeout time.Duration
}

// Name returns service and kind for reports.
func (k Kind) Name() string { return k.service + ": " + k.call.Name() }

// Service returns the service that is called.
func (k Kind) Service() string { return k.service }

// Worth returns the value of an answer in time.
func (k Kind) Worth() float64 { return k.worth }

// Urgent reports whether a late answer is worthless.
func (k Kind) Urgent() bool { return k.urgent }

// Timeout returns the deadline the configuration gives the call.
func (k Kind) Timeout() time.Duration { return k.timeout }

// MixOf returns the kinds of calls of a deployment. Services get calls in
// proportion to their slots, so that all are equally loaded.
func MixOf(d deploy.Deployment) []Kind {
	total := 0
	for _, s := range d.Services() {
		total += s.Targets() * s.Config().Slots()
	}
	var mix []Kind
	for _, s := range d.Services() {
		weight := float64(s.Targets()*s.Config().Slots()) / float64(total)
		for _, c := range s.Calls() {
			r := s.Config().Classify(c.Method(), c.Path())
			mix = append(mix, Kind{
				service: string(s.Name()), call: c, share: weight * c.Share(),
				worth: r.Worth(), urgent: r.Class().Urgent(), timeout: r.Deadline(),
			})
		}
	}
	return mix
}

// Capacity returns how many calls a second the targets of d can run.
func Capacity(d deploy.Deployment) float64 {
	var c float64
	for _, s := range d.Services() {
		c += float64(s.Targets()*s.Config().Slots()) / s.Typical().Seconds()
	}
	return c
}
