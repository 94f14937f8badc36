package claims

// Answer is the decision on a claim.
type Answer uint8

const (
	// Fresh means that the claim is accepted. A Run or Refuse action with its
	// ticket follows.
	Fresh Answer = iota
	// Running means that an earlier claim of the key is being written, or its
	// request is running.
	Running
	// Completed means that the request with the key has run and its response is
	// retained.
	Completed
	// UnknownOutcome means that a request with the key may have run, and no
	// response is retained.
	UnknownOutcome
	// Refused means that the request of this claim did not run and never will.
	Refused
)

// ClaimResult is the decision on a claim with its details.
type ClaimResult struct {
	answer   Answer
	ticket   uint64
	response []byte
	reason   string
}

// Answer returns the decision.
func (v ClaimResult) Answer() Answer { return v.answer }

// Ticket returns the number of a Fresh claim.
func (v ClaimResult) Ticket() uint64 { return v.ticket }

// Response returns the retained response of a Completed key. The caller must not
// modify it.
func (v ClaimResult) Response() []byte { return v.response }

// Reason returns why a claim was Refused.
func (v ClaimResult) Reason() string { return v.reason }
