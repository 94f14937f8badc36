package types

import (
	"fmt"
	"time"
)

// MaxDepth is the highest depth that NewCall accepts, so that a loop of calls
// ends. The call of the first caller has depth 0; a chain must be able to go on
// for nine hops after that.
const MaxDepth = 10

// CallSpec lists the properties of a call for NewCall.
type CallSpec struct {
	ID         string
	Service    ServiceName
	Method     string
	Path       string
	Class      Class
	Deadline   time.Time
	Goal       time.Time // when the response loses most of its worth; zero for never
	Kind       string    // calls of one kind have similar service times; "" stands for the class
	PromptOnly bool      // refuse the call rather than queue it beyond its goal
	Worth      float64
	Rank       int          // priority of the route; 0 is the most urgent
	Customer   CustomerName // customer that sent it, "" for none
	// CustomerRank is the priority of the customer; 0 is the highest.
	CustomerRank int
	Depth        int
	Key          string
	Fingerprint  Fingerprint
	TriesLeft    int
}

// Call is the identity of one request, the same at each hop and attempt.
type Call struct {
	spec CallSpec
}

// NewCall returns the call described by s. It fails without an id, a service or
// a deadline, and for a depth that is negative or above MaxDepth.
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

// Class returns whether the call is urgent and how often it may run.
func (c Call) Class() Class { return c.spec.Class }

// Deadline returns when the response is due, on the local clock.
func (c Call) Deadline() time.Time { return c.spec.Deadline }

// Goal returns when the response loses most of its worth, zero for never.
func (c Call) Goal() time.Time { return c.spec.Goal }

// Kind returns the group of calls with similar service times that the call
// belongs to, "" for that of its class.
func (c Call) Kind() string { return c.spec.Kind }

// PromptOnly reports whether the call is to be refused rather than queued
// beyond its goal, because another target may have a free slot.
func (c Call) PromptOnly() bool { return c.spec.PromptOnly }

// Worth returns the value of a response in a unit that the operator chooses.
func (c Call) Worth() float64 { return c.spec.Worth }

// Rank returns the priority of the call's route; 0 is the most urgent. It goes after the
// priority of the customer.
func (c Call) Rank() int { return c.spec.Rank }

// Customer returns the customer that sent the call, "" for none.
func (c Call) Customer() CustomerName { return c.spec.Customer }

// CustomerRank returns the priority of the customer; 0 is the highest, also that of a call
// without a customer.
func (c Call) CustomerRank() int { return c.spec.CustomerRank }

// Depth returns the number of hops before this one.
func (c Call) Depth() int { return c.spec.Depth }

// Key returns the caller's idempotency key, or "".
func (c Call) Key() string { return c.spec.Key }

// Fingerprint returns the hash of the call's content.
func (c Call) Fingerprint() Fingerprint { return c.spec.Fingerprint }

// TriesLeft returns how many attempts are left, this one included.
func (c Call) TriesLeft() int { return c.spec.TriesLeft }

// Remaining returns the time left until the deadline; it may be negative.
func (c Call) Remaining(now time.Time) time.Duration { return c.spec.Deadline.Sub(now) }
