package agent

import (
	"time"

	"trefoilthread/core/types"
)

// Settings are the settings of an agent, fixed at its start.
type Settings struct {
	Node       string
	DataCentre types.DataCentre
	Regions    map[types.DataCentre]string // region of each data centre
	Service    types.ServiceName           // service of the target on this VM
	TargetAddr string                      // HTTP address of that target
	Link       float64                     // speed of the network link of this VM in Mbit/s, 0 if unknown

	Callers string // address for callers and the target's own calls
	Ready   string // address for the readiness check
	Control string // address for the target's announcements
	Mesh    string // address for other agents
	// Advertised is the address that other agents use, "" for Mesh.
	Advertised string
	Metrics    string // address for metrics, "" for none

	StopTime    time.Duration // from SIGTERM to SIGKILL
	RetryShare  float64       // retries of all agents per request of a service
	RetryExtra  int           // retries beyond the share in RetryWindow, all agents together
	RetryWindow time.Duration
	HedgeShare  float64 // hedges per request of a service at each agent, 0 for none
	// ProbesPerSecond bounds the health checks of the own target.
	ProbesPerSecond int
	// KeyRevocation is the time after which a request may not run any more with an API key
	// that was removed, at any agent; 0 if only agents that reach the store are bound.
	KeyRevocation time.Duration
	// ColdOverrun and ColdExtra are the factor and the number by which the calls to a cold
	// target in a second may exceed its rate.
	ColdOverrun float64
	ColdExtra   float64
	// BodyMemory bounds the memory in bytes of the long bodies of requests, until they are
	// answered, and of responses, until they have been passed on.
	BodyMemory int
}

// advertisedAddress returns the address that other agents use.
func (s Settings) advertisedAddress() string {
	if s.Advertised != "" {
		return s.Advertised
	}
	return s.Mesh
}
