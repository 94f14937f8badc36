package agent

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"trefoilthread/core/vhost"
	"trefoilthread/io/httpw"
	"trefoilthread/io/mesh"
	"trefoilthread/io/mirror"
)

const (
	// staleRetryDelay is the retry delay while the configuration isn't known well enough for
	// API keys. The agents that read the store call it again within half a second.
	staleRetryDelay = 300 * time.Millisecond
	// staleLinesPerSecond limits the log lines about requests refused for that: an outage
	// of the store concerns all requests with keys.
	staleLinesPerSecond = 1

	reasonStale = "configuration not known well enough for API keys"
	reasonNoKey = "no API key, or more than one"
)

// identity is who sends a request.
type identity struct {
	customer *vhost.Customer // nil if the route needs none
	until    time.Duration   // the request must start before this time of the agent's clock, 0 for no bound
}

// identify returns the customer of a request, or the response to a request that may not
// run. k must have been read before t: a later one might not
// hold for an older table.
func (e *entry) identify(info RequestInfo, t *vhost.Table, r *vhost.Route, k mirror.Knowledge) (identity, *httpw.Response) {
	if !needsKey(t, r) {
		return identity{}, nil
	}
	c, isKnown := t.CustomerOf(info.Key)
	switch reason := keyRefusal(info.Key != "", isKnown, k); reason {
	case "":
		return identity{customer: c, until: k.Until()}, nil
	case reasonStale:
		return identity{}, e.refuseStale(info)
	default:
		return identity{}, e.rejectKey(info, reason)
	}
}

// needsKey reports whether requests of a route need an API key.
func needsKey(t *vhost.Table, r *vhost.Route) bool { return t.HasCustomers() && !r.IsPublic() }

// keyRefusal returns why a request whose route needs an API key may not run, "" if it may.
func keyRefusal(hasKey, isKnown bool, k mirror.Knowledge) string {
	switch {
	case !hasKey:
		return reasonNoKey
	case !k.IsRecent(), !isKnown && k.MayLackKeys():
		return reasonStale
	case !isKnown:
		return "unknown API key"
	}
	return ""
}

// rejectKey returns the response to a request without a valid key.
func (e *entry) rejectKey(info RequestInfo, reason string) *httpw.Response {
	e.metrics.countEvent("keys_rejected")
	e.logRejected(info, "", http.StatusUnauthorized, reason)
	return plain(http.StatusUnauthorized, reason)
}

// refuseStale returns the response to a request with a key while the configuration isn't
// known well enough.
func (e *entry) refuseStale(info RequestInfo) *httpw.Response {
	e.metrics.countEvent("keys_refused_stale")
	if e.staleLines.AllowN(e.clock.Now(), 1) {
		e.logRejected(info, "", http.StatusServiceUnavailable, reasonStale)
	} else {
		e.metrics.recordResponse(http.StatusServiceUnavailable, 0)
	}
	return e.wire.Refusal(reasonStale, staleRetryDelay)
}

// withoutKey returns the request as targets may see it. Without customers, now or with
// settings that expect them, it is unchanged.
func (e *entry) withoutKey(req *httpw.Request, t *vhost.Table) *httpw.Request {
	if !t.HasCustomers() && !e.fresh.IsBound() {
		return req
	}
	stripped := *req
	stripped.Header = e.wire.WithoutKey(req.Header)
	return &stripped
}

// addCustomer adds the customer of a request to a call.
func (q *request) addCustomer(head *mesh.CallHead, elapsed func() time.Duration) {
	if q.identity.customer == nil {
		return
	}
	head.Customer = string(q.identity.customer.Name())
	if q.identity.until <= 0 {
		return
	}
	if head.StartMs = (q.identity.until - elapsed()).Milliseconds(); head.StartMs <= 0 {
		head.StartMs = -1 // 0 would be no bound
	}
}

// newStaleLines returns the limit of the log lines about requests refused by refuseStale.
func newStaleLines() *rate.Limiter { return rate.NewLimiter(staleLinesPerSecond, 1) }

// staleReason returns why a call with a customer may not start now, "" if it may. came is
// when the call came to this agent, by its clock that counts suspension.
func (t *localTarget) staleReason(head *mesh.CallHead, came time.Duration) string {
	if head.Customer == "" || !t.fresh.IsBound() {
		return ""
	}
	waited := t.fresh.Elapsed() - came
	if !t.fresh.Now().IsRecent() || head.StartMs != 0 && waited > time.Duration(head.StartMs)*time.Millisecond {
		t.metrics.countEvent("calls_refused_stale")
		return reasonStale
	}
	return ""
}
