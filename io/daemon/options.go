package daemon

import (
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"trefoilthread/core/route"
	"trefoilthread/io/certs"
	"trefoilthread/io/setup"
	"trefoilthread/io/store"
)

// Options configure a Daemon.
type Options struct {
	Settings *setup.Settings
	Identity *certs.Identity
	Store    store.Store
	Log      log.Interface
	// Clock is the real clock if nil.
	Clock clockwork.Clock
	// Policy chooses targets; the default of core/route if nil. The load tool
	// compares policies with it.
	Policy route.Policy
	// Seed makes random choices repeatable; 0 takes a random one.
	Seed uint64
}
