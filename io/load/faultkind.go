package load

import (
	"slices"
	"strings"
)

// FaultKind names what goes wrong in a scenario.
type FaultKind string

// The kinds of faults.
const (
	Straggler      FaultKind = "straggler"      // targets take factor times as long
	FailFast       FaultKind = "failFast"       // targets fail a share of requests at once
	Noisy          FaultKind = "noisy"          // targets are slow in each second half of a period
	LyingReports   FaultKind = "lyingReports"   // load endpoints always report an idle target
	Crash          FaultKind = "crash"          // targets crash and start again after the time
	RollingRestart FaultKind = "rollingRestart" // daemons and targets are replaced one by one
	Poison         FaultKind = "poison"         // a request that crashes targets is sent each period
	Swallow        FaultKind = "swallow"        // the targets' open connections fall silent
	StoreOutage    FaultKind = "storeOutage"    // the store is down
)

// faultKeys lists the keys each kind takes besides kind and at.
var faultKeys = map[FaultKind][]string{
	Straggler:      {"for", "service", "targets", "factor"},
	FailFast:       {"for", "service", "targets", "share"},
	Noisy:          {"for", "service", "targets", "factor", "period"},
	LyingReports:   {"for", "service", "targets"},
	Crash:          {"for", "service", "targets"},
	RollingRestart: {"service", "targets"},
	Poison:         {"for", "service", "period"},
	Swallow:        {"service", "targets"},
	StoreOutage:    {"for"},
}

// takes reports whether a fault of the kind has the key.
func (k FaultKind) takes(key string) bool {
	return key == "kind" || key == "at" || slices.Contains(faultKeys[k], key)
}

// faultKinds lists the kinds for messages.
func faultKinds() string {
	var names []string
	for k := range faultKeys {
		names = append(names, string(k))
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
