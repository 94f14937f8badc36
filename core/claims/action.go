package claims

import "time"

// Kind is the kind of an Action.
type Kind uint8

const (
	// Read asks for the value of Key; answered by ReadDone.
	Read Kind = iota
	// Swap asks to write Value to Key under Lease if Key is at Revision; answered
	// by SwapDone.
	Swap
	// Grant asks for a new lease with time to live TTL; answered by GrantDone.
	Grant
	// Run means that the claim of Hash with Ticket is durable and its request has
	// to run.
	Run
	// Refuse means that the request of the claim of Hash with Ticket did not run
	// and never will.
	Refuse
)

// Action is a store call to make, or the decision on a Fresh claim.
type Action struct {
	kind     Kind
	op       uint64
	key      string
	revision int64
	value    []byte
	lease    int64
	ttl      time.Duration
	hash     Hash
	ticket   uint64
	reason   string
}

// Kind returns the kind of the action.
func (a Action) Kind() Kind { return a.kind }

// Op returns the number of a store call; the event that answers it carries the
// same number.
func (a Action) Op() uint64 { return a.op }

// Key returns the store key for Read and Swap.
func (a Action) Key() string { return a.key }

// Revision returns the revision that Key must have for Swap, 0 if it must not
// exist.
func (a Action) Revision() int64 { return a.revision }

// Value returns the value to write for Swap.
func (a Action) Value() []byte { return a.value }

// Lease returns the id of the lease for Swap, 0 for none.
func (a Action) Lease() int64 { return a.lease }

// TTL returns the time to live of the lease for Grant.
func (a Action) TTL() time.Duration { return a.ttl }

// Hash returns the hash of the claimed key for Run and Refuse.
func (a Action) Hash() Hash { return a.hash }

// Ticket returns the number of the claim for Run and Refuse.
func (a Action) Ticket() uint64 { return a.ticket }

// Reason returns why a claim was refused, for Refuse.
func (a Action) Reason() string { return a.reason }
