package types

// TargetState is the state of a target in the membership.
type TargetState uint8

const (
	// Up targets take calls.
	Up TargetState = iota
	// Draining targets finish their calls and take no new ones.
	Draining
	// Down targets take no calls: the daemon runs, the target process doesn't.
	Down
)

// String returns the name used in listings and logs.
func (s TargetState) String() string {
	switch s {
	case Up:
		return "up"
	case Draining:
		return "draining"
	}
	return "down"
}

// TargetSpec lists the properties of a Target.
type TargetSpec struct {
	ID          TargetID
	Service     ServiceName
	DataCentre  DataCentre
	Address     string
	Slots       int
	Link        float64 // of the target's VM, Mbit/s, 0 if unknown
	Incarnation uint64
	Sequence    uint64
	State       TargetState
}

// Target is the membership record of a target and the daemon on its VM.
type Target struct {
	spec TargetSpec
}

// NewTarget returns the target with the given properties.
func NewTarget(s TargetSpec) Target { return Target{spec: s} }

// ID returns the name of the target and its daemon.
func (t Target) ID() TargetID { return t.spec.ID }

// Service returns the service the target runs.
func (t Target) Service() ServiceName { return t.spec.Service }

// DataCentre returns the data centre in which the target runs.
func (t Target) DataCentre() DataCentre { return t.spec.DataCentre }

// Address returns the IP address and UDP port of the daemon on the target's VM.
func (t Target) Address() string { return t.spec.Address }

// Slots returns how many calls the target can run at a time.
func (t Target) Slots() int { return t.spec.Slots }

// Link returns the speed of the network link of the target's VM in Mbit/s, 0 if it is
// unknown.
func (t Target) Link() float64 { return t.spec.Link }

// Incarnation returns a number that grows with each start of the daemon.
func (t Target) Incarnation() uint64 { return t.spec.Incarnation }

// Sequence returns the number of the announced state, which grows within one
// incarnation.
func (t Target) Sequence() uint64 { return t.spec.Sequence }

// State returns whether the target is up, draining or down.
func (t Target) State() TargetState { return t.spec.State }

// WithState returns a copy in the given state with the next sequence number.
func (t Target) WithState(s TargetState) Target {
	t.spec.State = s
	t.spec.Sequence++
	return t
}

// Newer reports whether t replaces o: a later start of the daemon, or a later
// state of the same start.
func (t Target) Newer(o Target) bool {
	if t.spec.Incarnation != o.spec.Incarnation {
		return t.spec.Incarnation > o.spec.Incarnation
	}
	return t.spec.Sequence > o.spec.Sequence
}
