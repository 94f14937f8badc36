package agent

import (
	"time"

	"trefoilthread/core/grace"
	"trefoilthread/core/types"
	"trefoilthread/core/vhost"
	"trefoilthread/io/httpw"
	"trefoilthread/io/mesh"
)

// responseMargin is how long before the caller's deadline a call ends, so that its
// response still reaches the caller in time.
const responseMargin = 15 * time.Millisecond

// request is a request of a caller with the route and the times that apply to it.
type request struct {
	info     RequestInfo
	req      *httpw.Request
	route    *vhost.Route
	service  types.ServiceName
	identity identity
	config   int64
	start    time.Time
	deadline time.Time
	goal     time.Time
}

// newRequest applies a route to a request. The deadline is the earlier one of the route
// and the caller, less responseMargin; hash selects among the services of a weighted
// route.
func newRequest(now time.Time, info RequestInfo, req *httpw.Request, t *vhost.Table, r *vhost.Route, hash uint64) *request {
	wait := r.Timeout()
	if info.Timeout > 0 {
		wait = min(wait, info.Timeout)
	}
	if wait > 2*responseMargin {
		wait -= responseMargin
	}
	return &request{
		info: info, req: req, route: r, service: r.Service(hash), config: t.Version(),
		start: now, deadline: now.Add(wait), goal: now.Add(r.Goal()),
	}
}

// applyStop moves the deadline to the end of a planned stop of this agent if it is later,
// and returns false if the request has to be refused.
func (q *request) applyStop(now time.Time, s *grace.Stop) bool {
	deadline, ok := s.Deadline(now, q.deadline)
	q.deadline = deadline
	return ok
}

// worth returns the value of a response to a request whose route has a rank. The
// operator gives an order, not values; rank 0 is worth 1, rank 1 a half, rank 2 a third.
func worth(rank int) float64 { return 1 / float64(1+max(rank, 0)) }

// customerRank returns the rank of the request's customer, 0 without one.
func (q *request) customerRank() int {
	if q.identity.customer == nil {
		return 0
	}
	return q.identity.customer.Rank()
}

// urgency returns the priority of the request.
func (q *request) urgency() types.Urgency {
	return types.Urgency{Customer: q.customerRank(), Route: q.route.Rank()}
}

// callHead returns the message that carries the request to the agent beside t.
func (q *request) callHead(now time.Time, t types.Target, caller types.ServiceName) *mesh.CallHead {
	return &mesh.CallHead{
		ID: q.info.ID, Service: string(q.service), Target: string(t.ID()), Caller: string(caller),
		Method: q.req.Method, Path: q.req.Target, Header: q.req.Header.EndToEnd(), Body: q.req.Body,
		RemainingMs: q.deadline.Sub(now).Milliseconds(), GoalMs: q.goal.Sub(now).Milliseconds(),
		Rank: q.route.Rank(), Route: q.route.Name(), Worth: worth(q.route.Rank()),
		AtMostOnce: q.route.Runs() == types.AtMostOnce, Config: q.config,
		CustomerRank: q.customerRank(),
	}
}

// callOf converts a call for the admission gate. Only the worth orders the calls: with a
// class of urgent calls the gate would reserve slots for it.
func callOf(now time.Time, head *mesh.CallHead) (types.Call, error) {
	runs := types.Idempotent
	if head.AtMostOnce {
		runs = types.AtMostOnce
	}
	return types.NewCall(types.CallSpec{
		ID: head.ID, Service: types.ServiceName(head.Service), Method: head.Method, Path: head.Path,
		Class: types.NewClass(false, runs), Kind: head.Route, PromptOnly: head.Prompt,
		Deadline: now.Add(time.Duration(head.RemainingMs) * time.Millisecond),
		Goal:     now.Add(time.Duration(head.GoalMs) * time.Millisecond), Worth: head.Worth, Rank: head.Rank,
		Customer: types.CustomerName(head.Customer), CustomerRank: head.CustomerRank,
	})
}
