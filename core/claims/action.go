package claims

import "time"

// Kind is what an Action asks for.
type Kind uint8

const (
	// Read asks for the value of Key; answered by ReadDone.
	Read Kind = iota
	// Swap asks to write Value to Key at Revision under Lease; answered by
	// SwapDone.
	Swap
	// Grant asks for a lease of TTL; answered by GrantDone.
	Grant
	// Run means that the claim of Hash with Ticket is durable and has to run.
	Run
	// Refuse means that the claim of Hash with Ticket did not run and never will.
	Refuse
)

// Action is a store call to be made or the result of a Fresh claim.
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

// Kind returns what is asked for.
func (a Action) Kind() Kind { return a.kind }

// Op returns the number that the answer of a store call has to carry.
func (a Action) Op() uint64 { return a.op }

// Key returns the key for Read and Swap.
func (a Action) Key() string { return a.key }

// Revision returns the revision that Key has to have for Swap, 0 for none.
func (a Action) Revision() int64 { return a.revision }

// Value returns the value for Swap.
func (a Action) Value() []byte { return a.value }

// Lease returns the lease for Swap, 0 for none.
func (a Action) Lease() int64 { return a.lease }

// TTL returns the lease time for Grant.
func (a Action) TTL() time.Duration { return a.ttl }

// Hash returns the key for Run and Refuse.
func (a Action) Hash() Hash { return a.hash }

// Ticket returns the claim for Run and Refuse.
func (a Action) Ticket() uint64 { return a.ticket }

// Reason returns why a claim was refused.
func (a Action) Reason() string { return a.reason }
