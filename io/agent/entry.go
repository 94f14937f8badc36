package agent

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"trefoilthread/core/route"
	"trefoilthread/core/types"
	"trefoilthread/io/httpw"
	"trefoilthread/io/mesh"
)

const (
	// maxMoves bounds the targets whose gates refuse one request.
	maxMoves = 3
	// promptMoves is the number of gates that are asked for an answer within
	// the goal; the next one may let the request wait longer.
	promptMoves = 2
	// startRetry is when a caller may come again while no configuration or no
	// target is known.
	startRetry = 300 * time.Millisecond
)

// entry takes callers' requests.
type entry struct {
	wire   Wire
	clock  clockwork.Clock
	log    log.Interface
	count  *counts
	tables *tables
	places *places
	caller func() types.ServiceName
	// send hands a call to the agent beside a target and returns its answer.
	send func(ctx context.Context, t types.Target, head *mesh.CallHead) (*mesh.Answer, error)
	// newer is told of a configuration version that another agent has.
	newer func(version int64)
}

// handle answers one request.
func (e *entry) handle(ctx context.Context, req *httpw.Request) *httpw.Response {
	now := e.clock.Now()
	ask, ok := e.wire.ReadAsk(req)
	if !ok {
		e.note(ask, "", http.StatusBadRequest, "request lacks an id or has an unreadable deadline")
		return plain(http.StatusBadRequest, "request lacks an id or has an unreadable deadline")
	}
	t := e.tables.get()
	if t == nil {
		e.note(ask, "", http.StatusServiceUnavailable, "no configuration yet")
		return e.wire.Refusal("no configuration yet", startRetry)
	}
	r, ok := t.Lookup(ask.Host, req.Target)
	if !ok {
		e.note(ask, "", http.StatusNotFound, "no route in version "+itoa(t.Version()))
		return plain(http.StatusNotFound, "no such route")
	}
	q := newRequest(now, ask, req, t, r, xxhash.Sum64String(ask.ID))
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	e.places.began(q.service, r.Name())
	run := &run{e: e, q: q}
	resp := run.do(ctx)
	if resp.Status < http.StatusInternalServerError {
		e.places.answered(q.service, r.Name(), e.clock.Since(now))
	}
	e.finish(q, run, resp)
	return resp
}

// run is the way of one request over its targets.
type run struct {
	e        *entry
	q        *request
	results  chan result
	inFlight int
	tried    []types.TargetID
	reached  int           // attempts that may have reached a target
	ran      bool          // an attempt may have run
	moves    int           // attempts refused before the target
	hedged   bool          // a second attempt was sent while the first was open
	retry    time.Duration // shortest hint of a gate
	failure  *httpw.Response
	reason   string // of the last attempt that failed
	waits    bool   // an attempt is cut short by the deadline
}

// result is the end of one attempt.
type result struct {
	ans *mesh.Answer
	err error
}

// do sends the request until it has an answer that stands. Attempts that are
// still open then are canceled.
func (r *run) do(ctx context.Context) *httpw.Response {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.results = make(chan result, maxOpen)
	hedge := r.hedgeTimer()
	if !r.launch(ctx) {
		return r.end()
	}
	for {
		select {
		case res := <-r.results:
			r.inFlight--
			if resp := r.judge(ctx, res.ans, res.err); resp != nil {
				return resp
			}
			if r.inFlight > 0 {
				continue
			}
			if !r.again(ctx) || !r.launch(ctx) {
				return r.end()
			}
		case <-hedge:
			hedge = nil
			r.hedge(ctx)
		}
	}
}

// maxOpen is the number of attempts that may be open at a time.
const maxOpen = 2

// launch sends the request to the next target; false if there is none.
func (r *run) launch(ctx context.Context) bool {
	t, tok, ok := r.e.places.pick(r.q.service, r.tried)
	if !ok {
		r.because("no target left")
		return false
	}
	r.tried = append(r.tried, t.ID())
	r.inFlight++
	sent := r.e.clock.Now()
	head := r.q.head(sent, t, r.e.caller())
	head.Prompt = r.moves < promptMoves
	go func() {
		ans, err := r.e.send(ctx, t, head)
		r.e.places.finish(r.q.service, tok, learned(ctx, ans, err, r.e.clock.Since(sent)))
		if ans != nil {
			r.e.newer(ans.Config)
		}
		r.results <- result{ans: ans, err: err}
	}()
	return true
}

// hedgeTimer fires when the first attempt has taken longer than most requests
// of its route; never for requests that may not run twice.
func (r *run) hedgeTimer() <-chan time.Time {
	if !r.mayRepeat() || r.q.route.Attempts() < maxOpen {
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
	if r.inFlight != 1 || r.reached+maxOpen > r.q.route.Attempts() || !r.e.places.takeHedge(r.q.service, r.q.route.Name()) {
		return
	}
	r.hedged = r.launch(ctx)
}

// judge takes over what an attempt has shown and returns the response if it is
// final.
func (r *run) judge(ctx context.Context, ans *mesh.Answer, err error) *httpw.Response {
	switch {
	case ctx.Err() != nil && ans == nil:
		r.ran = r.ran || !errors.Is(err, mesh.ErrUnreachable)
		r.waits = true
		r.because("deadline passed or caller left")
	case errors.Is(err, mesh.ErrUnreachable):
		r.moves++
		r.because("agent unreachable")
	case err != nil:
		r.reached++
		r.ran = true
		r.because("connection to the agent broke")
	case ans.Result == mesh.Refused:
		r.refused(ans)
	case ans.Result == mesh.Answered:
		r.reached++
		r.ran = true
		resp := &httpw.Response{Status: ans.Status, Reason: ans.Phrase, Header: ans.Header, Body: ans.Body}
		if ans.Status < http.StatusInternalServerError || !r.mayRepeat() {
			return resp
		}
		r.failure = resp
		r.because("target failed")
	default:
		r.reached++
		r.ran = true
		r.waits = ans.Result == mesh.Expired
		r.because(ans.Reason)
	}
	return nil
}

func (r *run) refused(ans *mesh.Answer) {
	if ans.Reached {
		r.reached++
	} else {
		r.moves++
	}
	if d := time.Duration(ans.RetryMs) * time.Millisecond; d > 0 && (r.retry == 0 || d < r.retry) {
		r.retry = d
	}
	r.because(ans.Reason)
}

func (r *run) because(reason string) { r.reason = reason }

// mayRepeat reports whether a request that may have run can be sent again.
func (r *run) mayRepeat() bool { return r.q.route.Runs() == types.Idempotent }

// again decides whether another target is tried. Moves away from gates that
// refused cost no budget: no target has seen the request.
func (r *run) again(ctx context.Context) bool {
	if ctx.Err() != nil || r.ran && !r.mayRepeat() || r.moves >= maxMoves {
		return false
	}
	if r.reached == 0 {
		return true
	}
	return r.reached < r.q.route.Attempts() && r.e.places.takeRetry(r.q.service)
}

// end returns the response of a request that no target has answered well.
func (r *run) end() *httpw.Response {
	switch {
	case r.failure != nil:
		return r.failure
	case !r.ran:
		return r.e.wire.Refusal(r.reason, r.retryAfter())
	case r.waits:
		return plain(http.StatusGatewayTimeout, r.reason)
	}
	return plain(http.StatusBadGateway, r.reason)
}

// retryAfter returns when the caller may find room: after the calls that wait
// now and those that arrive meanwhile. It is random, so that callers that were
// refused together don't return together.
func (r *run) retryAfter() time.Duration {
	if r.retry > 0 {
		return 2*r.retry + rand.N(2*r.retry)
	}
	return startRetry/2 + rand.N(startRetry)
}

// learned is what the placing learns from an attempt.
func learned(ctx context.Context, ans *mesh.Answer, err error, took time.Duration) route.Result {
	res := route.Result{Latency: took}
	switch {
	case ans != nil:
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
	case errors.Is(ctx.Err(), context.Canceled):
		res.Outcome = types.Canceled
	case ctx.Err() != nil:
		res.Outcome = types.DeadlineExceeded
	default:
		res.Outcome, res.Failed = types.Unknown, true
	}
	return res
}

// plain returns a response of the agent's own with a line for people.
func plain(status int, reason string) *httpw.Response {
	return &httpw.Response{
		Status: status,
		Header: httpw.Header{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}},
		Body:   []byte(reason + "\n"),
	}
}
