package member

// Kind is the store call that an Action asks for.
type Kind uint8

const (
	// Write asks to swap Value into Key at Revision; answered by WriteDone.
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

// Op returns the number that the answer has to carry.
func (a Action) Op() uint64 { return a.op }

// Key returns the key of the summary.
func (a Action) Key() string { return a.key }

// Revision returns the revision the key has to have for Write, 0 for none.
func (a Action) Revision() int64 { return a.revision }

// Value returns the summary for Write, in CBOR.
func (a Action) Value() []byte { return a.value }

// Key returns the key of a data centre's summary.
func Key(dc string) string { return "dc/" + dc + "/members" }
