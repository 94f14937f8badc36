package agent

import (
	"context"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"trefoilthread/core/beat"
	"trefoilthread/io/front"
	"trefoilthread/io/httpw"
	"trefoilthread/io/mesh"
)

// resultNames are the names of call results in logs and metrics.
var resultNames = [...]string{
	mesh.Answered: "answered", mesh.Refused: "refused", mesh.Broken: "broken", mesh.Expired: "expired",
}

// logRejected logs and counts a request that was answered before it was sent to any
// target.
func (e *entry) logRejected(info RequestInfo, service string, status int, reason string) {
	e.metrics.recordResponse(status, 0)
	e.log.WithFields(log.Fields{
		"request": info.ID, "host": info.Host, "service": service, "status": status, "reason": reason,
		"config": e.table.version(),
	}).Warn("request ended")
}

// logUnread logs and counts a request that was refused before it was read: its id isn't known.
func (e *entry) logUnread(err *httpw.MessageError, reason string) {
	e.metrics.recordResponse(err.Status(), 0)
	e.metrics.countBroken("requests_unread", err)
	fields := log.Fields{
		"request": "", "host": "", "service": "", "status": err.Status(), "reason": reason, "config": e.table.version(),
	}
	addProgress(fields, err)
	e.log.WithFields(fields).WithError(err).Warn("request ended")
}

// recordEnd logs and counts the end of a request, with the attempts that led to the
// response.
func (e *entry) recordEnd(q *request, d *dispatch, resp *httpw.Response) {
	took := e.clock.Since(q.start)
	e.metrics.recordResponse(resp.Status, took)
	leftOut := 0
	if isRoutine := resp.Status < 400 && len(d.tried) == 1 && !e.clock.Now().After(q.goal); isRoutine {
		var ok bool
		if leftOut, ok = e.metrics.mayLogRequest(e.clock.Now(), q.route.Name()); !ok {
			return
		}
	}
	names := make([]string, len(d.tried))
	for i, id := range d.tried {
		names[i] = string(id)
	}
	e.log.WithFields(log.Fields{
		"request": q.info.ID, "route": q.route.Name(), "service": string(q.service), "rank": q.route.Rank(),
		"config": q.config, "status": resp.Status, "reason": d.reason, "lastTry": d.tries.Reason(), "targets": strings.Join(names, ","),
		"reached": d.tries.Reached(), "moves": d.tries.Undelivered(), "hedged": d.hedged, "tookMs": took.Milliseconds(),
		"goalMs": q.route.Goal().Milliseconds(), "leftMs": q.deadline.Sub(e.clock.Now()).Milliseconds(), "leftOut": leftOut,
	}).Info("request ended")
}

// recordHold records how long a response waited for an earlier one of its connection. It
// logs responses that missed the latency goal only because of that.
func (e *entry) recordHold(h front.Hold) {
	e.metrics.hold.RecordDuration(h.Held)
	info, ok := e.wire.ReadRequestInfo(h.Req)
	t := e.table.get()
	if !ok || t == nil {
		return
	}
	r, ok := t.Lookup(info.Host, h.Req.Target)
	took := e.clock.Since(h.Came)
	if !ok || took <= r.Goal() || took-h.Held > r.Goal() {
		return
	}
	by, _ := e.wire.ReadRequestInfo(h.By) // without an id it shows as ""
	e.log.WithFields(log.Fields{
		"request": info.ID, "route": r.Name(), "status": h.Status, "by": by.ID, "heldMs": h.Held.Milliseconds(),
		"tookMs": took.Milliseconds(), "goalMs": r.Goal().Milliseconds(), "config": t.Version(),
	}).Info("response held by an earlier one of its connection")
}

// recordCall logs and counts a call at the target on this VM, with the load of its gate.
// broken is the error of the target's response, nil if there is none.
func (t *localTarget) recordCall(head *mesh.CallHead, ans *mesh.Answer, broken error, took time.Duration) {
	t.metrics.recordCall(resultNames[ans.Result], took)
	if ans.Result == mesh.Answered && !t.metrics.mayLogRoutine(t.clock.Now()) {
		return
	}
	fields := log.Fields{
		"request": head.ID, "service": head.Service, "route": head.Route, "target": head.Target, "result": resultNames[ans.Result],
		"reason": ans.Reason, "tookMs": took.Milliseconds(), "leftMs": head.RemainingMs - took.Milliseconds(),
		"running": ans.Load.InFlight, "waiting": ans.Load.Queued, "limit": ans.Load.Limit, "pace": ans.Load.Pace,
		"latencyMs": ans.Load.LatencyUs / 1000, "config": head.Config,
	}
	if broken != nil && (ans.Result == mesh.Broken || ans.Result == mesh.Expired) {
		addProgress(fields, broken)
	}
	if broken != nil && ans.Result == mesh.Broken && !errors.IsAny(broken, context.Canceled, context.DeadlineExceeded) {
		t.metrics.countBroken("responses_broken", broken) // not cut by the end of a planned stop
	}
	t.log.WithFields(fields).Info("call ended")
}

// addProgress adds the part of a message that err broke off, and how many bytes of it had come.
func addProgress(fields log.Fields, err error) {
	part, read := httpw.Progress(err)
	fields["part"], fields["readBytes"] = part.String(), read
}

// logBadHealth logs and counts a health check whose response wasn't valid or broke off. That a
// check got no response in time, or no byte of one, is only counted.
func (t *localTarget) logBadHealth(cur beat.Announcement, err error) {
	part, read := httpw.Progress(err)
	hasBegun := part != httpw.PartOther && (part != httpw.PartHead || read > 0)
	if !httpw.IsMessageError(err) && (!hasBegun || errors.IsAny(err, context.Canceled, context.DeadlineExceeded)) {
		return
	}
	t.metrics.countBroken("responses_broken", err)
	fields := log.Fields{"target": string(cur.ID), "service": string(cur.Service)}
	addProgress(fields, err)
	t.log.WithFields(fields).WithError(err).Warn("health check: target's response broke off")
}

// recordDropped logs and counts a response of the target that is not the one to req, a
// request for the target with an id.
func (a *Agent) recordDropped(req *httpw.Request, resp *httpw.Response) {
	a.metrics.countEvent("responses_dropped")
	asked, _ := a.opts.Wire.ReadRequestInfo(req) // a health check shows as ""
	a.log.WithFields(log.Fields{
		"request": asked.ID, "answers": a.opts.Wire.ReadResponseInfo(resp).ID, "status": resp.Status,
	}).Warn("response of the target belongs to another request")
}
