package claims

// Answer is what a claim means for its caller.
type Answer uint8

const (
	// Fresh claims wait for a Run or Refuse action with their ticket.
	Fresh Answer = iota
	// Running means that an earlier claim of the key is being written or run.
	Running
	// Known means that the key has run and its response is retained.
	Known
	// UnknownOutcome means that the key may have run.
	UnknownOutcome
	// Refused means that this claim did not run and never will.
	Refused
)

// Verdict is the result of a claim.
type Verdict struct {
	answer   Answer
	ticket   uint64
	response []byte
	reason   string
}

// Answer returns what the claim means for its caller.
func (v Verdict) Answer() Answer { return v.answer }

// Ticket returns the number of a Fresh claim.
func (v Verdict) Ticket() uint64 { return v.ticket }

// Response returns the retained response of a Known key. It must not be changed.
func (v Verdict) Response() []byte { return v.response }

// Reason returns why the claim was refused.
func (v Verdict) Reason() string { return v.reason }
