package agent

import (
	"strings"
	"time"

	"github.com/apex/log"

	"trefoilthread/io/front"
	"trefoilthread/io/httpw"
	"trefoilthread/io/mesh"
)

// resultNames are the results of calls in logs and metrics.
var resultNames = [...]string{
	mesh.Answered: "answered", mesh.Refused: "refused", mesh.Broken: "broken", mesh.Expired: "expired",
}

// note logs a request that never had a route.
func (e *entry) note(ask Ask, service string, status int, reason string) {
	e.count.answered(status, 0)
	e.log.WithFields(log.Fields{
		"request": ask.ID, "host": ask.Host, "service": service, "status": status, "reason": reason,
		"config": e.tables.version(),
	}).Warn("request ended")
}

// finish logs the end of a request with what decided it.
func (e *entry) finish(q *request, r *run, resp *httpw.Response) {
	took := e.clock.Since(q.began)
	e.count.answered(resp.Status, took)
	isRoutine := resp.Status < 400 && len(r.tried) == 1 && !e.clock.Now().After(q.goal)
	if isRoutine && !e.count.mayLogRoutine(e.clock.Now()) {
		return
	}
	names := make([]string, len(r.tried))
	for i, id := range r.tried {
		names[i] = string(id)
	}
	e.log.WithFields(log.Fields{
		"request": q.ask.ID, "route": q.route.Name(), "service": string(q.service), "rank": q.route.Rank(),
		"config": q.config, "status": resp.Status, "reason": r.reason, "lastTry": r.tries.Reason(), "targets": strings.Join(names, ","),
		"reached": r.tries.Reached(), "moves": r.tries.Moves(), "hedged": r.hedged, "tookMs": took.Milliseconds(),
		"leftMs": q.deadline.Sub(e.clock.Now()).Milliseconds(),
	}).Info("request ended")
}

// held notes a response that waited for an earlier one of its connection, in the
// log if it missed its goal for that.
func (e *entry) held(h front.Hold) {
	e.count.held.RecordDuration(h.Held)
	ask, ok := e.wire.ReadAsk(h.Req)
	t := e.tables.get()
	if !ok || t == nil {
		return
	}
	r, ok := t.Lookup(ask.Host, h.Req.Target)
	took := e.clock.Since(h.Came)
	if !ok || took <= r.Goal() || took-h.Held > r.Goal() {
		return
	}
	by, _ := e.wire.ReadAsk(h.By) // without an id it shows as ""
	e.log.WithFields(log.Fields{
		"request": ask.ID, "route": r.Name(), "status": h.Status, "by": by.ID, "heldMs": h.Held.Milliseconds(),
		"tookMs": took.Milliseconds(), "goalMs": r.Goal().Milliseconds(), "config": t.Version(),
	}).Info("response held by an earlier one of its connection")
}

// note logs a call at the target on this VM, with what its gate knew.
func (o *own) note(head *mesh.CallHead, ans *mesh.Answer, took time.Duration) {
	o.count.served(resultNames[ans.Result], took)
	if ans.Result == mesh.Answered && !o.count.mayLogRoutine(o.clock.Now()) {
		return
	}
	o.log.WithFields(log.Fields{
		"request": head.ID, "service": head.Service, "route": head.Route, "target": head.Target, "result": resultNames[ans.Result],
		"reason": ans.Reason, "tookMs": took.Milliseconds(), "leftMs": head.RemainingMs - took.Milliseconds(),
		"running": ans.Load.InFlight, "waiting": ans.Load.Queued, "limit": ans.Load.Limit,
		"latencyMs": ans.Load.LatencyUs / 1000, "config": head.Config,
	}).Info("call ended")
}
