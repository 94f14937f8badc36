package admit

// Ticket identifies one offer to a Gate. It is comparable and never reused.
type Ticket struct {
	id     uint64
	index  uint32
	reason reason
}

// Reason returns why Offer refused the call, or "". The reason of a call that
// waited first is in its Event.
func (t Ticket) Reason() string { return t.reason.String() }
