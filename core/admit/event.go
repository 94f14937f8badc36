package admit

// Event is the final decision about a waiting call: Run or Refuse.
type Event struct {
	// Ticket is the one that Offer returned for the call.
	Ticket Ticket
	// Verdict is Run or Refuse.
	Verdict Verdict
	// Reason explains a refusal.
	Reason string
}
