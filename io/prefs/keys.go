package prefs

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"trefoilthread/core/types"
)

// key describes one key of the settings file.
type key struct {
	section  string
	name     string
	deflt    string
	optional bool // may be empty
	allowed  string
	help     string
	set      func(p *Prefs, v string) bool // false if the value isn't allowed
}

const (
	nameAllowed    = "letters, digits, - _ . /"
	addressAllowed = "IP:port"
)

// keys lists each key of the settings file.
var keys = []key{
	{"node", "name", "", false, nameAllowed, "name of this agent, unique in the deployment", name(func(p *Prefs, v string) { p.agent.Node = v })},
	{"node", "dataCentre", "", false, nameAllowed, "data centre of this VM", name(func(p *Prefs, v string) { p.agent.DataCentre = types.DataCentre(v) })},
	{"node", "service", "", false, nameAllowed, "service of the target on this VM", name(func(p *Prefs, v string) { p.agent.Service = types.ServiceName(v) })},
	{"node", "target", "", false, addressAllowed, "HTTP address of the target on this VM", address(func(p *Prefs) *string { return &p.agent.TargetAddr })},

	{"node", "link", "0", false, "0 to 1000000", "speed of the VM's link in Mbit/s, 0 if unknown; those with the fastest ones read the store for the others", number(0, 1e6, func(p *Prefs) *float64 { return &p.agent.Link })},

	{"listen", "callers", "", false, addressAllowed, "address for callers and for the target's own calls", address(func(p *Prefs) *string { return &p.agent.Callers })},
	{"listen", "ready", "", false, addressAllowed, "address for the readiness check", address(func(p *Prefs) *string { return &p.agent.Ready })},
	{"listen", "control", "", false, addressAllowed, "address for the target's announcements", address(func(p *Prefs) *string { return &p.agent.Control })},
	{"listen", "mesh", "", false, addressAllowed, "address for other agents", address(func(p *Prefs) *string { return &p.agent.Mesh })},
	{"listen", "advertised", "", true, addressAllowed, "address that other agents use, where it isn't mesh: behind a proxy or a port mapping", address(func(p *Prefs) *string { return &p.agent.Advertised })},
	{"listen", "metrics", "", true, addressAllowed, "address for metrics; none if empty", address(func(p *Prefs) *string { return &p.agent.Metrics })},

	{"store", "address", "", false, addressAllowed, "address of the platform's store", address(func(p *Prefs) *string { return &p.store })},

	{"bounds", "stopTime", "6s", false, "1s to 10m", "time from SIGTERM to SIGKILL", duration(time.Second, 10*time.Minute, func(p *Prefs) *time.Duration { return &p.agent.StopTime })},
	{"bounds", "retryShare", "0.2", false, "0 to 1", "retries of all agents per request of a service", number(0, 1, func(p *Prefs) *float64 { return &p.agent.RetryShare })},
	{"bounds", "retryExtra", "0", false, "0 to 1000000", "retries beyond the share in each retryWindow, all agents together", integer(0, 1_000_000, func(p *Prefs) *int { return &p.agent.RetryExtra })},
	{"bounds", "retryWindow", "10s", false, "1s to 10m", "time over which retries are counted", duration(time.Second, 10*time.Minute, func(p *Prefs) *time.Duration { return &p.agent.RetryWindow })},

	{"bounds", "hedgeShare", "0.1", false, "0 to 1", "second attempts of slow idempotent requests per request of a service, while the first is open; 0: none", number(0, 1, func(p *Prefs) *float64 { return &p.agent.HedgeShare })},

	{"bounds", "probesPerSecond", "1", false, "0 to 1000", "health checks of the target in a second at most; they tell the pace of its host", integer(0, 1000, func(p *Prefs) *int { return &p.agent.ProbesPerSecond })},

	{"bounds", "keyRevocation", "0s", false, "0s to 10m", "time after which no request runs any more with a removed API key, also at agents that have lost the store; 0s: only agents that reach it are bound", duration(0, 10*time.Minute, func(p *Prefs) *time.Duration { return &p.agent.KeyRevocation })},
	{"bounds", "coldOverrun", "1", false, "1 to 100", "factor by which the calls to a cold target in a second may exceed its rate", number(1, 100, func(p *Prefs) *float64 { return &p.agent.ColdOverrun })},
	{"bounds", "coldExtra", "0", false, "0 to 1000000", "calls to a cold target in a second beyond its rate and coldOverrun", number(0, 1e6, func(p *Prefs) *float64 { return &p.agent.ColdExtra })},

	{"bounds", "bodyMemory", "33554432", false, "1048576 to 68719476736", "memory in bytes for bodies over 64 KB of requests in progress, and of responses until they have been passed on; requests beyond it are refused", integer(1<<20, 1<<36, func(p *Prefs) *int { return &p.agent.BodyMemory })},

	{"log", "level", "info", false, "debug, info, warn, error", "lowest level that is logged", oneOf([]string{"debug", "info", "warn", "error"}, func(p *Prefs) *string { return &p.logLevel })},
	{"log", "format", "logfmt", false, "logfmt, json", "format of log lines", oneOf([]string{"logfmt", "json"}, func(p *Prefs) *string { return &p.logFormat })},
	{"log", "linesPerSecond", "200", false, "1 to 100000", "lines that are logged in a second at most; the rest is counted", integer(1, 100_000, func(p *Prefs) *int { return &p.logRate })},
}

const nameChars = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_./"

func name(put func(*Prefs, string)) func(*Prefs, string) bool {
	return func(p *Prefs, v string) bool {
		if len(v) > 255 || strings.Trim(v, nameChars) != "" {
			return false
		}
		put(p, v)
		return true
	}
}

func address(field func(*Prefs) *string) func(*Prefs, string) bool {
	return func(p *Prefs, v string) bool {
		if _, err := netip.ParseAddrPort(v); err != nil {
			return false
		}
		*field(p) = v
		return true
	}
}

func duration(lo, hi time.Duration, field func(*Prefs) *time.Duration) func(*Prefs, string) bool {
	return func(p *Prefs, v string) bool {
		d, err := time.ParseDuration(v)
		if err != nil || d < lo || d > hi {
			return false
		}
		*field(p) = d
		return true
	}
}

func number(lo, hi float64, field func(*Prefs) *float64) func(*Prefs, string) bool {
	return func(p *Prefs, v string) bool {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || !(n >= lo && n <= hi) {
			return false
		}
		*field(p) = n
		return true
	}
}

func integer(lo, hi int, field func(*Prefs) *int) func(*Prefs, string) bool {
	return func(p *Prefs, v string) bool {
		n, err := strconv.Atoi(v)
		if err != nil || n < lo || n > hi {
			return false
		}
		*field(p) = n
		return true
	}
}

func oneOf(allowed []string, field func(*Prefs) *string) func(*Prefs, string) bool {
	return func(p *Prefs, v string) bool {
		if !slices.Contains(allowed, v) {
			return false
		}
		*field(p) = v
		return true
	}
}
