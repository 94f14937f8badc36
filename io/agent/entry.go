package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"trefoilthread/core/types"
	"trefoilthread/io/httpw"
	"trefoilthread/io/mesh"
)

// startRetry is when a caller may come again while no configuration or no
// target is known.
const startRetry = 300 * time.Millisecond

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
	newer    func(version int64)
	suspects *suspects
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
	if e.suspects.isQuarantined(fingerprint(string(q.service), req.Method, req.Target, req.Body)) {
		e.note(ask, string(q.service), http.StatusServiceUnavailable, "request has crashed targets")
		return e.wire.Refusal("request has crashed targets", suspectExpiry)
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	e.places.began(q.service, r.Name())
	run := newRun(e, q)
	resp := run.do(ctx)
	if resp.Status < http.StatusInternalServerError {
		e.places.answered(q.service, r.Name(), e.clock.Since(now))
	}
	e.finish(q, run, resp)
	return resp
}

// refuse answers bytes that are no valid request.
func (e *entry) refuse(status int) *httpw.Response {
	const reason = "request not understood, or longer than allowed"
	e.note(Ask{}, "", status, reason)
	return plain(status, reason)
}

// plain returns a response of the agent's own with a line for people.
func plain(status int, reason string) *httpw.Response {
	return &httpw.Response{
		Status: status,
		Header: httpw.Header{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}},
		Body:   []byte(reason + "\n"),
	}
}
