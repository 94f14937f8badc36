package config

import (
	"crypto/sha256"
	"encoding/binary"

	"trefoilthread/core/types"
)

// ChangeSpec lists the properties of a Change.
type ChangeSpec struct {
	Action Action
	// Service is the new content; Delete uses only its name.
	Service Service
	// Base is the version of the service that the change builds on; 0 for a
	// new service.
	Base int64
	// RequestID names the change; the same id again returns the first result.
	RequestID string
	// Operator and Address tell who asked for the change and from where.
	Operator string
	Address  string
	// DryRun validates and compares only.
	DryRun bool
	// Problems are values of the request that Service cannot represent, for
	// example a share that is no number. Apply reports them with its own.
	Problems []Problem
}

// Change is one change that an operator asks for.
type Change struct {
	spec ChangeSpec
}

// NewChange returns the change with the given properties, unchecked.
func NewChange(s ChangeSpec) Change { return Change{spec: s} }

// Action returns the kind of the change.
func (c Change) Action() Action { return c.spec.Action }

// Service returns the new content.
func (c Change) Service() Service { return c.spec.Service }

// Name returns the name of the changed service.
func (c Change) Name() types.ServiceName { return c.spec.Service.Name() }

// Base returns the version of the service that the change builds on.
func (c Change) Base() int64 { return c.spec.Base }

// RequestID returns the name of the change.
func (c Change) RequestID() string { return c.spec.RequestID }

// Operator returns who asked for the change.
func (c Change) Operator() string { return c.spec.Operator }

// Address returns where the operator called from.
func (c Change) Address() string { return c.spec.Address }

// DryRun reports whether the change is only to be checked.
func (c Change) DryRun() bool { return c.spec.DryRun }

// digest identifies what the change does and who asked for it. The address is
// left out because a repetition may come by another way.
func (c Change) digest() uint64 {
	svc := toServiceWire(c.spec.Service.WithVersion(0))
	if c.spec.Action == Delete {
		svc = serviceWire{Name: svc.Name}
	}
	b, err := encMode.Marshal([]any{c.spec.Action, c.spec.Base, c.spec.Operator, svc})
	if err != nil {
		// Plain structs always encode; a digest of nothing only makes Reused
		// more likely, never a second application.
		b = nil
	}
	sum := sha256.Sum256(b)
	return binary.BigEndian.Uint64(sum[:])
}
