package agent

import (
	"time"

	"trefoilthread/core/types"
	"trefoilthread/core/vhost"
	"trefoilthread/io/httpw"
	"trefoilthread/io/mesh"
)

// answerMargin is how long before the caller's deadline a call ends, so that
// its last answer still reaches the caller.
const answerMargin = 15 * time.Millisecond

// request is a caller's request on its way.
type request struct {
	ask      Ask
	req      *httpw.Request
	route    *vhost.Route
	service  types.ServiceName
	config   int64
	began    time.Time
	deadline time.Time
	goal     time.Time
}

// newRequest applies a route to a request.
func newRequest(now time.Time, ask Ask, req *httpw.Request, t *vhost.Table, r *vhost.Route, hash uint64) *request {
	wait := r.Timeout()
	if ask.Patience > 0 {
		wait = min(wait, ask.Patience)
	}
	if wait > 2*answerMargin {
		wait -= answerMargin
	}
	return &request{
		ask: ask, req: req, route: r, service: r.Service(hash), config: t.Version(),
		began: now, deadline: now.Add(wait), goal: now.Add(r.Goal()),
	}
}

// worth is the value of an answer by the rank of its route: the operator gives
// an order, not a value.
func worth(rank int) float64 { return 1 / float64(1+max(rank, 0)) }

// head returns the call for a target.
func (q *request) head(now time.Time, t types.Target, caller types.ServiceName) *mesh.CallHead {
	return &mesh.CallHead{
		ID: q.ask.ID, Service: string(q.service), Target: string(t.ID()), Caller: string(caller),
		Method: q.req.Method, Path: q.req.Target, Header: q.req.Header.EndToEnd(), Body: q.req.Body,
		RemainingMs: q.deadline.Sub(now).Milliseconds(), GoalMs: q.goal.Sub(now).Milliseconds(),
		Rank: q.route.Rank(), Route: q.route.Name(), Worth: worth(q.route.Rank()),
		AtMostOnce: q.route.Runs() == types.AtMostOnce, Config: q.config,
	}
}

// callOf returns the call as the gate sees it. The order of calls comes from
// their worth alone: an urgent class of its own would have the gate reserve
// places for it.
func callOf(now time.Time, head *mesh.CallHead) (types.Call, error) {
	runs := types.Idempotent
	if head.AtMostOnce {
		runs = types.AtMostOnce
	}
	return types.NewCall(types.CallSpec{
		ID: head.ID, Service: types.ServiceName(head.Service), Method: head.Method, Path: head.Path,
		Class: types.NewClass(false, runs), Kind: head.Route, PromptOnly: head.Prompt,
		Deadline: now.Add(time.Duration(head.RemainingMs) * time.Millisecond),
		Goal:     now.Add(time.Duration(head.GoalMs) * time.Millisecond), Worth: head.Worth,
	})
}
