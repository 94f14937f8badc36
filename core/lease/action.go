package lease

import "time"

// Kind is the store call that an Action asks for.
type Kind uint8

const (
	// Read asks for the value of Key; answered by ReadDone.
	Read Kind = iota
	// Grant asks for a lease of TTL; answered by GrantDone.
	Grant
	// Swap creates Key with Value under Lease if it does not exist; answered by
	// SwapDone.
	Swap
	// Renew extends Lease; answered by RenewDone.
	Renew
	// Revoke ends Lease; its result is not needed.
	Revoke
)

// Action is a store call to be made.
type Action struct {
	kind  Kind
	op    uint64
	key   string
	value []byte
	lease int64
	ttl   time.Duration
}

// Kind returns which call to make.
func (a Action) Kind() Kind { return a.kind }

// Op returns the number of the call, which its answer has to carry.
func (a Action) Op() uint64 { return a.op }

// Key returns the key for Read and Swap.
func (a Action) Key() string { return a.key }

// Value returns the value for Swap, in CBOR.
func (a Action) Value() []byte { return a.value }

// Lease returns the lease for Swap, Renew and Revoke.
func (a Action) Lease() int64 { return a.lease }

// TTL returns the lease time to ask for with Grant.
func (a Action) TTL() time.Duration { return a.ttl }
