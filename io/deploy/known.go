package deploy

import (
	"time"

	"trefoilthread/core/config"
	"trefoilthread/core/types"
)

// Names lists the known deployments.
func Names() []string { return []string{"tiram", "qatt"} }

// Named returns a known deployment.
func Named(name string) (Deployment, bool) {
	switch name {
	case "tiram":
		return tiram(), true
	case "qatt":
		return qatt(), true
	}
	return Deployment{}, false
}

// kind is a Call with the rule that operators give it.
type kind struct {
	call Call
	rule config.RuleSpec
}

func urgent(name, path string, share float64, deadline time.Duration, worth float64) kind {
	return kind{
		Call{name: name, method: "GET", path: path, share: share},
		config.RuleSpec{Method: "GET", Path: path + "*", Urgent: true, Runs: types.Idempotent, Deadline: deadline, Worth: worth},
	}
}

func ordinary(name, path string, share float64, deadline time.Duration, worth float64) kind {
	k := urgent(name, path, share, deadline, worth)
	k.rule.Urgent = false
	return k
}

func once(name, path string, share float64, deadline time.Duration, worth float64) kind {
	return kind{
		Call{name: name, method: "POST", path: path, share: share, keyed: true},
		config.RuleSpec{Method: "POST", Path: path + "*", Runs: types.AtMostOnce, Deadline: deadline, Worth: worth},
	}
}

func service(name types.ServiceName, dcs []types.DataCentre, targets, slots, conns int, typical time.Duration, kinds ...kind) Service {
	s := Service{targets: targets, typical: typical}
	spec := config.ServiceSpec{
		Name: name, DataCentres: dcs, Slots: slots, Connections: conns,
		ProbeBudget: 10 * time.Millisecond, RetryShare: 0.1, HedgeShare: 0.05, MaxBodyBytes: 16 << 20,
	}
	for _, k := range kinds {
		s.calls = append(s.calls, k.call)
		spec.Rules = append(spec.Rules, config.NewRule(k.rule))
	}
	s.conf = config.NewService(spec)
	return s
}

func tiram() Deployment {
	dcs := []types.DataCentre{"kl-sentral", "penang-north", "johor-south"}
	return Deployment{
		name: "tiram", dataCentres: dcs, between: 500 * time.Microsecond, callers: 8 * time.Millisecond,
		services: []Service{
			service("bookings", dcs, 9, 12, 250, 10*time.Millisecond,
				urgent("menu lookup", "/menu", 0.8, 150*time.Millisecond, 1),
				once("event deposit", "/deposits", 0.2, 2*time.Second, 20)),
			service("stockroom", dcs, 3, 12, 250, 10*time.Millisecond,
				urgent("cold-chain status", "/cold-chain", 0.5, 150*time.Millisecond, 5),
				ordinary("tray check", "/trays", 0.3, time.Second, 1),
				once("oyster order", "/orders", 0.2, 2*time.Second, 10)),
		},
	}
}

func qatt() Deployment {
	dcs := []types.DataCentre{"muscat-a", "muscat-b", "muscat-c", "muscat-d"}
	return Deployment{
		name: "qatt", dataCentres: dcs, between: 1500 * time.Microsecond, callers: 3 * time.Millisecond,
		services: []Service{
			service("rota", dcs, 7, 15, 200, 10*time.Millisecond,
				ordinary("visit schedule", "/visits", 0.8, time.Second, 1),
				once("visit booking", "/bookings", 0.2, 2*time.Second, 15)),
			service("care", dcs, 4, 15, 200, 10*time.Millisecond,
				urgent("feeding and medicine notes", "/notes", 0.7, 150*time.Millisecond, 8),
				once("key handover", "/handovers", 0.3, 2*time.Second, 12)),
		},
	}
}

// Small returns a deployment for tests and benchmarks: two data centres, one
// service "echo" with the given number of targets, which answer after typical.
func Small(targets int, typical time.Duration) Deployment {
	dcs := []types.DataCentre{"dc-a", "dc-b"}
	return Deployment{
		name: "small", dataCentres: dcs, between: 500 * time.Microsecond, callers: time.Millisecond,
		services: []Service{
			service("echo", dcs, targets, 12, 250, typical,
				urgent("read", "/read", 0.8, 2*time.Second, 1),
				once("write", "/write", 0.2, 5*time.Second, 10)),
		},
	}
}
