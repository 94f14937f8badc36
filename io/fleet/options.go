package fleet

import (
	"time"

	"github.com/apex/log"

	"trefoilthread/core/route"
	"trefoilthread/core/types"
	"trefoilthread/io/deploy"
	"trefoilthread/io/stand"
)

// Options configure a Fleet.
type Options struct {
	Deployment deploy.Deployment
	Store      stand.StoreOptions
	// LeaseTime is the time to live of leadership leases, 3 s if 0.
	LeaseTime time.Duration
	// Sigma is the spread of the targets' lognormal service times, 0 for
	// constant ones.
	Sigma float64
	// RestartAfter is the time from a target's crash to its restart, 0 for none.
	RestartAfter time.Duration
	Policy       route.Policy
	Seed         uint64
	// Log receives the daemons' log lines; nil discards them.
	Log log.Interface
	// Settings are more lines of the daemons' settings file, for example
	// "[calls]\nqueue = 10".
	Settings string
	// StoreVia, if set, gives the address at which a daemon reaches the store
	// that listens on addr, so that a benchmark can count the daemon's traffic.
	StoreVia func(daemon types.TargetID, addr string) (string, error)
}
