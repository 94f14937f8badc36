package member

// Kind is the store call that an Action asks for.
type Kind uint8

const (
	// Write asks for a compare-and-swap of Key from Revision to Value; answered
	// by WriteDone.
	Write Kind = iota
	// Read asks for the value of Key; answered by ReadDone.
	Read
)

// Action is a store call to be made.
type Action struct {
	kind     Kind
	op       uint64
	key      string
	revision int64
	value    []byte
}

// Kind returns which call to make.
func (a Action) Kind() Kind { return a.kind }

// Op returns the number of the call, which its answer has to carry.
func (a Action) Op() uint64 { return a.op }

// Key returns the store key of the summary.
func (a Action) Key() string { return a.key }

// Revision returns the revision that the key has to have for Write, 0 if it must
// not exist.
func (a Action) Revision() int64 { return a.revision }

// Value returns the summary for Write, in CBOR.
func (a Action) Value() []byte { return a.value }

// Key returns the store key of a data centre's summary.
func Key(dc string) string { return "dc/" + dc + "/members" }
