package setup

import "trefoilthread/core/types"

// keys lists each key of the settings file in the order of the reference.
var keys = []Key{
	{"daemon", "id", "", "name", "name of this daemon and its target, unique in the deployment", "letters, digits, - _ . /", text(func(s *Settings, v string) { s.id = types.TargetID(v) })},
	{"daemon", "dataCentre", "", "name", "data centre of this VM", "letters, digits, - _ . /", text(func(s *Settings, v string) { s.dataCentre = types.DataCentre(v) })},
	{"daemon", "stopBound", "20s", "duration", "bound of a graceful stop; calls still running then are cut off and reported as unknown", "0s to 10m", duration(0, 600, func(s *Settings) *timeDuration { return &s.stopBound })},
	{"daemon", "logLevel", "info", "level", "lowest level that is logged", "debug, info, warn, error", oneOf([]string{"debug", "info", "warn", "error"}, func(s *Settings, v string) { s.logLevel = v })},
	{"daemon", "logFormat", "logfmt", "format", "format of log lines", "logfmt, json", oneOf([]string{"logfmt", "json"}, func(s *Settings, v string) { s.logFormat = v })},

	{"listen", "callers", "127.0.0.1:7080", "IP:port", "TCP address for callers and for the own target's calls", "IP:port", address(func(s *Settings) *string { return &s.callers })},
	{"listen", "peers", "127.0.0.1:7081", "IP:port", "UDP address for other daemons", "IP:port", address(func(s *Settings) *string { return &s.peers })},
	{"listen", "local", "127.0.0.1:7082", "IP:port", "TCP address for the target's announcements, operators and metrics", "IP:port", address(func(s *Settings) *string { return &s.local })},

	{"tls", "certFile", "", "file", "PEM certificate of this daemon, with server name trefoilthread", "a readable file", text(func(s *Settings, v string) { s.certFile = v })},
	{"tls", "keyFile", "", "file", "PEM private key of the certificate", "a readable file", text(func(s *Settings, v string) { s.keyFile = v })},
	{"tls", "caFile", "", "file", "PEM certificates of the authority of all daemons", "a readable file", text(func(s *Settings, v string) { s.caFile = v })},

	{"store", "endpoints", "", "URLs", "endpoints of the platform's key-value service (etcd v3 API), separated by commas", "http:// or https:// URLs", endpoints},
	{"store", "writesPerSecond", "100", "1/s", "store writes this daemon may make; few daemons make any: leaders and those that keep idempotency keys", "0.1 to 1000", number(0.1, 1000, func(s *Settings) *float64 { return &s.writesPerSec })},
	{"store", "readsPerSecond", "100", "1/s", "store reads this daemon may make", "0.1 to 1000", number(0.1, 1000, func(s *Settings) *float64 { return &s.readsPerSec })},
	{"store", "leaseTime", "10s", "duration", "time to live of a leadership lease: how long a data centre is without a leader after a crash", "2s to 5m", duration(2, 300, func(s *Settings) *timeDuration { return &s.leaseTime })},

	{"calls", "queue", "64", "calls", "calls that may wait for the target's slots", "0 to 100000", integer(0, 100000, func(s *Settings) *int { return &s.queue })},
	{"calls", "urgentShare", "0.25", "share", "share of the slots kept free for urgent calls", "0 to 0.9", number(0, 0.9, func(s *Settings) *float64 { return &s.urgentShare })},
	{"calls", "stallAfter", "250ms", "duration", "silence after which a connection that owes answers is tested, and again until it is given up", "10ms to 1m", duration(0.01, 60, func(s *Settings) *timeDuration { return &s.stallAfter })},
	{"calls", "distance", "0s", "duration", "one-way time to another data centre, used until it is measured", "0s to 1s", duration(0, 1, func(s *Settings) *timeDuration { return &s.distance })},

	{"atMostOnce", "partitions", "8", "partitions", "partitions of idempotency keys; must be the same in all daemons", "1 to 4096", integer(1, 4096, func(s *Settings) *int { return &s.partitions })},
	{"atMostOnce", "keyRetention", "24h", "duration", "how long an idempotency key is remembered", "1m to 720h", duration(60, 2592000, func(s *Settings) *timeDuration { return &s.keyRetention })},
	{"atMostOnce", "keysMax", "200000", "keys", "keys one partition remembers; a full one refuses new keys as not run", "100 to 1000000", integer(100, 1000000, func(s *Settings) *int { return &s.keysMax })},
}
