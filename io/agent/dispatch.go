package agent

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/route"
	"trefoilthread/core/tries"
	"trefoilthread/core/types"
	"trefoilthread/io/httpw"
	"trefoilthread/io/mesh"
)

const (
	reasonNoTarget   = "no target known"
	reasonAllDrained = "all data centres of the service are drained"
)

// dispatch sends one request to one target after another until it has a final response.
type dispatch struct {
	entry    *entry
	request  *request
	tries    *tries.Tries
	results  chan result
	inFlight int
	tried    []types.TargetID
	hedged   bool            // a second attempt was sent while the first was open
	reason   string          // why no target has answered well, "" if one has
	failure  *httpw.Response // failure that a target answered with
}

// result is the end of one attempt.
type result struct {
	ans     *mesh.Answer
	err     error
	isHedge bool
}

// attempt describes how the request is sent to a target.
type attempt struct {
	isPrompt bool // the gate refuses it rather than queue it beyond its goal
	isHedge  bool
}

// maxPendingResults is the capacity for results that nobody reads any more: those of
// attempts that are canceled because another one was answered.
const maxPendingResults = 4

// newDispatch returns the dispatch of a request. One on trial reaches one target at most.
func newDispatch(e *entry, q *request, onTrial bool) *dispatch {
	attempts := q.route.Attempts()
	if onTrial {
		attempts = 1
	}
	return &dispatch{
		entry: e, request: q, results: make(chan result, maxPendingResults),
		tries: tries.New(tries.Options{Runs: q.route.Runs(), Attempts: attempts}),
	}
}

// do sends the request until it has a final response, then cancels the attempts that are
// still in flight.
func (d *dispatch) do(ctx context.Context) *httpw.Response {
	ctx, cancel := context.WithCancel(ctx)
	defer d.discard()
	defer cancel()
	hedge := d.hedgeTimer()
	if !d.startAttempt(ctx) {
		return d.finalResponse(d.missingTarget())
	}
	for {
		select {
		case res := <-d.results:
			d.inFlight--
			if resp := d.handleResult(ctx, res); resp != nil {
				d.recordHedge(res.isHedge)
				return resp
			}
			if d.inFlight > 0 {
				continue
			}
			if ctx.Err() != nil || !d.tries.ShouldRetry(d.takeRetry) || !d.startAttempt(ctx) {
				return d.finalResponse(d.tries.Reason())
			}
		case <-hedge:
			hedge = nil
			d.hedge(ctx)
		}
	}
}

// discard releases the memory of the answers that are no longer wanted.
func (d *dispatch) discard() {
	if d.inFlight == 0 {
		return
	}
	go func() {
		for range d.inFlight {
			if res := <-d.results; res.ans != nil {
				res.ans.Memory.Release()
			}
		}
	}()
}

func (d *dispatch) takeRetry() bool {
	return d.entry.balancer.takeRetry(d.request.service, d.request.urgency())
}

// startAttempt sends the request to the next target; false if there is none.
func (d *dispatch) startAttempt(ctx context.Context) bool {
	t, tok, others, ok := d.entry.balancer.pick(d.request.service, d.tried, len(d.request.req.Body))
	if !ok {
		return false
	}
	d.send(ctx, t, tok, attempt{isPrompt: d.tries.PromptOnly(others)})
	return true
}

// send sends the request to a target, whose call has been counted as started.
func (d *dispatch) send(ctx context.Context, t types.Target, tok route.Token, a attempt) {
	d.tried = append(d.tried, t.ID())
	d.inFlight++
	sent := d.entry.clock.Now()
	head := d.request.callHead(sent, t, d.entry.callerService())
	d.request.addCustomer(head, d.entry.fresh.Elapsed)
	head.Prompt = a.isPrompt
	go func() {
		ans, err := d.entry.send(ctx, t, head)
		d.entry.balancer.finishCall(d.request.service, tok, routeResult(ctx, ans, err, d.entry.clock.Since(sent)))
		if ans != nil {
			d.entry.observeVersion(ans.Config)
		}
		d.results <- result{ans: ans, err: err, isHedge: a.isHedge}
	}()
}

// missingTarget returns why there is no target for the first attempt.
func (d *dispatch) missingTarget() string {
	if !d.entry.balancer.isDrained(d.request.service) {
		return reasonNoTarget
	}
	d.entry.metrics.countEvent("requests_drained")
	return reasonAllDrained
}

// hedgeTimer returns a channel that fires when the first attempt has taken longer than
// most requests of its route, nil if no hedge is allowed.
func (d *dispatch) hedgeTimer() <-chan time.Time {
	if !d.tries.MayHedge(1) {
		return nil
	}
	delay, ok := d.entry.balancer.hedgeDelay(d.request.service, d.request.route.Name())
	if !ok || d.request.start.Add(delay).After(d.request.deadline) {
		return nil
	}
	return d.entry.clock.After(delay)
}

// handleResult records the result of an attempt and returns the response if it is final,
// else nil.
func (d *dispatch) handleResult(ctx context.Context, res result) *httpw.Response {
	ans := res.ans
	if ans != nil && ans.OtherTarget() != "" {
		// A second attempt at this target could take a copy of its first response for its
		// own, as both have the same id.
		d.tried = append(d.tried, types.TargetID(ans.OtherTarget()))
	}
	switch {
	case errors.Is(res.err, mesh.ErrUnreachable):
		d.tries.Record(tries.Unsent, "agent unreachable", 0)
	case errors.Is(res.err, mesh.ErrOldPeer), errors.Is(res.err, mesh.ErrNotSent):
		d.tries.Record(tries.Unsent, res.err.Error(), 0)
	case ans == nil && ctx.Err() != nil:
		d.tries.Record(tries.Expired, "deadline passed or caller left", 0)
	case errors.Is(res.err, mesh.ErrNoMemory), errors.Is(res.err, mesh.ErrUndecoded):
		d.tries.Record(tries.AnswerLost, res.err.Error(), 0)
	case ans == nil:
		d.tries.Record(tries.AnswerLost, "connection to the agent broke", 0)
	case ans.Result == mesh.Answered:
		resp := &httpw.Response{Status: ans.Status, Reason: ans.Phrase, Header: ans.Header, Body: ans.Body, Memory: ans.Memory}
		d.dropFailure()
		if ans.Status < http.StatusInternalServerError {
			return resp
		}
		d.failure = resp
		d.tries.Record(tries.Failed, "target failed with status "+itoa(int64(ans.Status)), 0)
	case ans.Result == mesh.Refused && ans.Reached:
		d.tries.Record(tries.RefusedByTarget, ans.Reason, ans.Retry())
	case ans.Result == mesh.Refused:
		d.tries.Record(tries.RefusedByGate, ans.Reason, ans.Retry())
	case ans.Result == mesh.Expired:
		d.tries.Record(tries.Expired, ans.Reason, 0)
	default:
		d.tries.Record(tries.AnswerLost, ans.Reason, 0)
	}
	return nil
}

// dropFailure releases the memory of the failure so far, which a later response replaces.
func (d *dispatch) dropFailure() {
	if d.failure != nil {
		d.failure.Memory.Release()
	}
}

// finalResponse returns the response to a request that no target has answered
// successfully.
func (d *dispatch) finalResponse(reason string) *httpw.Response {
	d.reason = reason
	if d.failure != nil {
		return d.failure
	}
	switch d.tries.Outcome() {
	case types.NotRun:
		rng := rand.New(rand.NewPCG(rand.Uint64(), 0))
		return d.entry.wire.Refusal(reason, d.tries.RetryAfter(rng))
	case types.DeadlineExceeded:
		return plain(http.StatusGatewayTimeout, reason)
	}
	return plain(http.StatusBadGateway, reason)
}

// routeResult converts the result of an attempt for the picker.
func routeResult(ctx context.Context, ans *mesh.Answer, err error, took time.Duration) route.Result {
	res := route.Result{Latency: took, Unreached: ctx.Err() == nil && errors.Is(err, mesh.ErrUnreachable)}
	if ans == nil {
		switch {
		case errors.Is(ctx.Err(), context.Canceled):
			res.Outcome = types.Canceled
		case ctx.Err() != nil:
			res.Outcome = types.DeadlineExceeded
		case errors.Is(err, mesh.ErrOldPeer):
			res.Outcome = types.BadRequest // says nothing about the target
		default:
			// The lack of memory here is no fault of the target.
			res.Outcome, res.Failed = types.Unknown, !errors.Is(err, mesh.ErrNoMemory)
		}
		return res
	}
	res.Report, res.HasReport = toReport(ans.Load), true
	switch ans.Result {
	case mesh.Answered:
		res.Outcome = types.Done
		res.Failed = ans.Status >= http.StatusInternalServerError
	case mesh.Refused:
		res.Outcome = types.NotRun
	case mesh.Expired:
		res.Outcome = types.DeadlineExceeded
		if errors.Is(ctx.Err(), context.Canceled) { // the own target's answer tells no difference
			res.Outcome = types.Canceled
		}
	default:
		res.Outcome, res.Failed = types.Unknown, true
	}
	return res
}
