package types

import (
	"fmt"
	"time"
)

// MaxDepth is the number of hops a call may take from the first caller: nine,
// and one more for the first entry.
const MaxDepth = 10

// CallSpec lists the properties of a call for NewCall.
type CallSpec struct {
	ID          string
	Service     ServiceName
	Method      string
	Path        string
	Class       Class
	Deadline    time.Time
	Goal        time.Time // when the answer loses most of its worth; zero for never
	Kind        string    // calls of one kind take about the same time; "" for the class
	PromptOnly  bool      // refuse it rather than let it wait beyond its goal
	Worth       float64
	Depth       int
	Key         string
	Fingerprint Fingerprint
	Tries       int
}

// Call is the identity of one request, the same at each hop and attempt.
type Call struct {
	spec CallSpec
}

// NewCall checks s and returns the call. It fails for a call without id,
// service or deadline, and beyond MaxDepth.
func NewCall(s CallSpec) (Call, error) {
	switch {
	case s.ID == "":
		return Call{}, fmt.Errorf("call without id")
	case s.Service == "":
		return Call{}, fmt.Errorf("call %s without service", s.ID)
	case s.Deadline.IsZero():
		return Call{}, fmt.Errorf("call %s without deadline", s.ID)
	case s.Depth < 0 || s.Depth > MaxDepth:
		return Call{}, fmt.Errorf("call %s has depth %d, allowed 0 to %d", s.ID, s.Depth, MaxDepth)
	}
	return Call{spec: s}, nil
}

// ID returns the request id, unique for each call of a caller.
func (c Call) ID() string { return c.spec.ID }

// Service returns the service that is called.
func (c Call) Service() ServiceName { return c.spec.Service }

// Method returns the HTTP method.
func (c Call) Method() string { return c.spec.Method }

// Path returns the path and query as the target will see them.
func (c Call) Path() string { return c.spec.Path }

// Class returns how the call is to be treated.
func (c Call) Class() Class { return c.spec.Class }

// Deadline returns when the answer is due, on the local clock.
func (c Call) Deadline() time.Time { return c.spec.Deadline }

// Goal returns when the answer loses most of its worth, zero for never.
func (c Call) Goal() time.Time { return c.spec.Goal }

// Kind names the calls that take about the same time, "" for the class.
func (c Call) Kind() string { return c.spec.Kind }

// PromptOnly reports whether the call is to be refused rather than wait beyond
// its goal: another target may have room.
func (c Call) PromptOnly() bool { return c.spec.PromptOnly }

// Worth returns the value of an answer, in the operator's unit.
func (c Call) Worth() float64 { return c.spec.Worth }

// Depth returns the number of hops before this one.
func (c Call) Depth() int { return c.spec.Depth }

// Key returns the caller's idempotency key, or "".
func (c Call) Key() string { return c.spec.Key }

// Fingerprint returns the identity of the call's content.
func (c Call) Fingerprint() Fingerprint { return c.spec.Fingerprint }

// Tries returns how many attempts are left, this one included.
func (c Call) Tries() int { return c.spec.Tries }

// Remaining returns the time left until the deadline; it may be negative.
func (c Call) Remaining(now time.Time) time.Duration { return c.spec.Deadline.Sub(now) }
