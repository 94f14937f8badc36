package admin

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"trefoilthread/core/config"
	"trefoilthread/core/stage"
	"trefoilthread/core/types"
	"trefoilthread/io/opspb"
	"trefoilthread/io/store"
)

// ErrNoTarget is the error of Drain for a target that is not known.
var ErrNoTarget = errors.New("no such target")

// Options holds what the handler uses but does not own. All fields but Now are
// required. The functions are called by several goroutines at a time.
type Options struct {
	Store store.Store
	// Clock drives the wait for acceptance.
	Clock clockwork.Clock
	// Now returns the time for audit entries; nil for that of Clock.
	Now func() time.Time
	Log log.Interface
	// Document returns the document that this daemon has in force.
	Document func() config.Document
	// Status returns the version in force of each data centre, sorted by name.
	Status func() []stage.DataCentreStatus
	// StatusChanged returns a channel that is closed at the next change of
	// Status. It is called before Status, so that no change is missed.
	StatusChanged func() <-chan struct{}
	// Targets returns the known targets of a service, or all for "".
	Targets func(service types.ServiceName) []*opspb.TargetStatus
	// Drain takes a target out of service or back, and returns its state.
	Drain func(ctx context.Context, target types.TargetID, drain bool) (types.TargetState, error)
	// Quarantine returns the requests suspected of crashing targets, with
	// fingerprints as hexadecimal numbers.
	Quarantine func() []*opspb.QuarantineEntry
	// Lift lets a request run again and reports whether it was listed.
	Lift func(ctx context.Context, f types.Fingerprint) (bool, error)
	// TokenHash returns the SHA-256 of the token of each operator, by name.
	TokenHash func() map[string][sha256.Size]byte
}
