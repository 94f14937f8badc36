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

// run is the way of one request over its targets.
type run struct {
	e        *entry
	q        *request
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
	ans *mesh.Answer
	err error
}

// resultsRoom is the number of results that wait to be taken: those of
// attempts that are canceled when another one has been answered.
const resultsRoom = 4

func newRun(e *entry, q *request) *run {
	return &run{
		e: e, q: q, results: make(chan result, resultsRoom),
		tries: tries.New(tries.Options{Runs: q.route.Runs(), Attempts: q.route.Attempts()}),
	}
}

// do sends the request until it has an answer that stands. Attempts that are
// still open then are canceled.
func (r *run) do(ctx context.Context) *httpw.Response {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hedge := r.hedgeTimer()
	if !r.launch(ctx) {
		return r.end("no target known")
	}
	for {
		select {
		case res := <-r.results:
			r.inFlight--
			if resp := r.judge(ctx, res); resp != nil {
				return resp
			}
			if r.inFlight > 0 {
				continue
			}
			if !r.tries.Again(r.takeRetry) || !r.launch(ctx) {
				return r.end(r.tries.Reason())
			}
		case <-hedge:
			hedge = nil
			r.hedge(ctx)
		}
	}
}

func (r *run) takeRetry() bool { return r.e.places.takeRetry(r.q.service) }

// launch sends the request to the next target; false if there is none.
func (r *run) launch(ctx context.Context) bool {
	t, tok, others, ok := r.e.places.pick(r.q.service, r.tried)
	if !ok {
		return false
	}
	r.tried = append(r.tried, t.ID())
	r.inFlight++
	sent := r.e.clock.Now()
	head := r.q.head(sent, t, r.e.caller())
	head.Prompt = r.tries.Prompt(others)
	go func() {
		ans, err := r.e.send(ctx, t, head)
		r.e.places.finish(r.q.service, tok, learned(ctx, ans, r.e.clock.Since(sent)))
		if ans != nil {
			r.e.newer(ans.Config)
		}
		r.results <- result{ans: ans, err: err}
	}()
	return true
}

// hedgeTimer fires when the first attempt has taken longer than most requests
// of its route; never if a second one isn't allowed.
func (r *run) hedgeTimer() <-chan time.Time {
	if !r.tries.MayHedge(1) {
		return nil
	}
	delay, ok := r.e.places.hedgeDelay(r.q.service, r.q.route.Name())
	if !ok || r.q.began.Add(delay).After(r.q.deadline) {
		return nil
	}
	return r.e.clock.After(delay)
}

// hedge sends the request to a second target while the first works on it.
func (r *run) hedge(ctx context.Context) {
	if r.tries.MayHedge(r.inFlight) && r.e.places.takeHedge(r.q.service, r.q.route.Name()) {
		r.hedged = r.launch(ctx)
	}
}

// judge takes over what an attempt has shown and returns the response if it is
// final.
func (r *run) judge(ctx context.Context, res result) *httpw.Response {
	ans := res.ans
	switch {
	case errors.Is(res.err, mesh.ErrUnreachable):
		r.tries.Record(tries.Unsent, "agent unreachable", 0)
	case ans == nil && ctx.Err() != nil:
		r.tries.Record(tries.Expired, "deadline passed or caller left", 0)
	case ans == nil:
		r.tries.Record(tries.Broken, "connection to the agent broke", 0)
	case ans.Result == mesh.Answered:
		resp := &httpw.Response{Status: ans.Status, Reason: ans.Phrase, Header: ans.Header, Body: ans.Body}
		if ans.Status < http.StatusInternalServerError {
			return resp
		}
		r.failure = resp
		r.tries.Record(tries.Failed, "target failed with status "+itoa(int64(ans.Status)), 0)
	case ans.Result == mesh.Refused && ans.Reached:
		r.tries.Record(tries.Declined, ans.Reason, ans.Retry())
	case ans.Result == mesh.Refused:
		r.tries.Record(tries.Refused, ans.Reason, ans.Retry())
	case ans.Result == mesh.Expired:
		r.tries.Record(tries.Expired, ans.Reason, 0)
	default:
		r.tries.Record(tries.Broken, ans.Reason, 0)
	}
	return nil
}

// end returns the response of a request that no target has answered well.
func (r *run) end(reason string) *httpw.Response {
	r.reason = reason
	if r.failure != nil {
		return r.failure
	}
	switch r.tries.Outcome() {
	case types.NotRun:
		rng := rand.New(rand.NewPCG(rand.Uint64(), 0))
		return r.e.wire.Refusal(reason, r.tries.RetryAfter(rng))
	case types.DeadlineExceeded:
		return plain(http.StatusGatewayTimeout, reason)
	}
	return plain(http.StatusBadGateway, reason)
}

// learned is what the placing learns from an attempt.
func learned(ctx context.Context, ans *mesh.Answer, took time.Duration) route.Result {
	res := route.Result{Latency: took}
	if ans == nil {
		switch {
		case errors.Is(ctx.Err(), context.Canceled):
			res.Outcome = types.Canceled
		case ctx.Err() != nil:
			res.Outcome = types.DeadlineExceeded
		default:
			res.Outcome, res.Failed = types.Unknown, true
		}
		return res
	}
	res.Report, res.HasReport = report(ans.Load), true
	switch ans.Result {
	case mesh.Answered:
		res.Outcome = types.Done
		res.Failed = ans.Status >= http.StatusInternalServerError
	case mesh.Refused:
		res.Outcome = types.NotRun
	case mesh.Expired:
		res.Outcome = types.DeadlineExceeded
	default:
		res.Outcome, res.Failed = types.Unknown, true
	}
	return res
}
