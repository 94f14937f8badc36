package types

// Outcome is the result of a call, including what its caller can rely on about
// whether it ran.
type Outcome uint8

const (
	// Done means that the whole response was received.
	Done Outcome = iota
	// NotRun means that the call was refused and no part of it ran.
	NotRun
	// Unknown means that the call may have run, fully or in part.
	Unknown
	// DeadlineExceeded means that the deadline passed; the call may have run.
	DeadlineExceeded
	// NoSuchService means that the configuration lacks the service; nothing ran.
	NoSuchService
	// Quarantined means that the request has crashed targets; nothing ran.
	Quarantined
	// BadRequest means that the request is malformed or too large; nothing ran.
	BadRequest
	// Canceled means that the caller gave up; the call may have run.
	Canceled
)

var outcomeNames = [...]string{
	Done: "done", NotRun: "notRun", Unknown: "outcomeUnknown",
	DeadlineExceeded: "deadlineExceeded", NoSuchService: "noSuchService",
	Quarantined: "quarantined", BadRequest: "badRequest", Canceled: "canceled",
}

// String returns the name used in headers, logs and metrics. A value that isn't
// declared here counts as Unknown.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "outcomeUnknown"
}

// ProvesNotRun reports whether the outcome guarantees that no part of the
// call ran.
func (o Outcome) ProvesNotRun() bool {
	switch o {
	case NotRun, NoSuchService, Quarantined, BadRequest:
		return true
	}
	return false
}
