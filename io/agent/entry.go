package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"trefoilthread/core/grace"
	"trefoilthread/core/types"
	"trefoilthread/io/crash"
	"trefoilthread/io/httpw"
	"trefoilthread/io/mesh"
	"trefoilthread/io/mirror"
	"trefoilthread/io/tokens"
)

// startRetryDelay is the retry delay that a caller gets while there is no configuration.
const startRetryDelay = 300 * time.Millisecond

// memoryRetryDelay is the retry delay of a caller for whose body there is no memory: about
// the time of a request.
const memoryRetryDelay = 500 * time.Millisecond

const reasonNoID = "request lacks an id or has an unreadable deadline"

// entry handles the requests of callers: it finds the route, chooses targets and returns
// the response.
type entry struct {
	wire          Wire
	clock         clockwork.Clock
	log           log.Interface
	metrics       *metrics
	table         *activeTable
	balancer      *balancer
	callerService func() types.ServiceName
	// send sends a call to the agent beside a target and returns its answer.
	send func(ctx context.Context, t types.Target, head *mesh.CallHead) (*mesh.Answer, error)
	// observeVersion is called with the configuration version of an agent that answered.
	observeVersion func(version int64)
	suspects       *crash.Suspects
	quotas         *tokens.Quotas
	// stop returns the planned stop of this agent, nil if there is none.
	stop       func() *grace.Stop
	fresh      *mirror.Freshness
	staleLines *rate.Limiter
}

// handle returns the response to one request.
func (e *entry) handle(ctx context.Context, req *httpw.Request) *httpw.Response {
	now := e.clock.Now()
	info, ok := e.wire.ReadRequestInfo(req)
	if !ok {
		e.logRejected(info, "", http.StatusBadRequest, reasonNoID)
		return plain(http.StatusBadRequest, reasonNoID)
	}
	k := e.fresh.Now() // before the table is taken, which may be replaced by a later one
	t := e.table.get()
	if t == nil {
		e.logRejected(info, "", http.StatusServiceUnavailable, "no configuration yet")
		return e.wire.Refusal("no configuration yet", startRetryDelay)
	}
	r, ok := t.Lookup(info.Host, req.Target)
	if !ok {
		e.logRejected(info, "", http.StatusNotFound, "no route in version "+itoa(t.Version()))
		return plain(http.StatusNotFound, "no such route")
	}
	who, rejected := e.identify(info, t, r, k)
	if rejected != nil {
		return rejected
	}
	q := newRequest(now, info, e.withoutKey(req, t), t, r, xxhash.Sum64String(info.ID))
	q.identity = who
	fp := crash.Fingerprint(string(q.service), req.Method, req.Target, req.Body)
	if wait, ok := e.suspects.Refuse(fp); ok {
		e.logRejected(info, string(q.service), http.StatusServiceUnavailable, "request has crashed targets")
		return e.wire.Refusal("request has crashed targets", wait)
	}
	if s := e.stop(); s != nil && !q.applyStop(now, s) {
		e.logRejected(info, string(q.service), http.StatusServiceUnavailable, "agent is stopping")
		return e.wire.Refusal("agent is stopping", s.Left(now))
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	verdict := e.takeToken(ctx, q)
	if resp := e.refuseByQuota(q, verdict); resp != nil {
		return resp
	}
	e.balancer.countRequest(q.service)
	d := newDispatch(e, q, e.suspects.IsOnTrial(fp))
	resp := d.do(ctx)
	e.returnUnusedToken(verdict, d)
	if resp.Status < http.StatusInternalServerError {
		e.balancer.recordLatency(q.service, r.Name(), e.clock.Since(now))
	}
	e.recordEnd(q, d, resp)
	return resp
}

// refuse returns the response to bytes that are not a valid request, or to a request for
// whose body there is no memory.
func (e *entry) refuse(err *httpw.MessageError) *httpw.Response {
	if part, _ := httpw.Progress(err); part == httpw.PartMemory {
		const reason = "no memory for the body"
		e.logUnread(err, reason)
		return e.wire.Refusal(reason, memoryRetryDelay)
	}
	const reason = "request not understood, or longer than allowed"
	e.logUnread(err, reason)
	return plain(err.Status(), reason)
}

// plain returns a response of the agent itself, with reason as text.
func plain(status int, reason string) *httpw.Response {
	return &httpw.Response{
		Status: status,
		Header: httpw.Header{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}},
		Body:   []byte(reason + "\n"),
	}
}
