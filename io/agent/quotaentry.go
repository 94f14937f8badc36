package agent

import (
	"context"
	"net/http"
	"time"

	"trefoilthread/io/httpw"
	"trefoilthread/io/timing"
	"trefoilthread/io/tokens"
)

// quotaRetryDelay is the mean retry delay of a caller whose request was refused for its
// customer's quota. A shorter one would only repeat the refusal: the callers of a customer
// over its quota share the next tokens.
const quotaRetryDelay = 500 * time.Millisecond

// quotaRefusal returns why a request with the result is refused and with which status, "" if it
// isn't.
func quotaRefusal(r tokens.Result) (reason string, status int) {
	switch r {
	case tokens.Within:
		return "", 0
	case tokens.Over:
		return "over the customer's quota", http.StatusTooManyRequests
	}
	return "quota of the customer unknown", http.StatusServiceUnavailable
}

// refuseByQuota returns the response to a request without a token, nil if it may be
// dispatched. The request has not run and never will.
func (e *entry) refuseByQuota(q *request, v tokens.Verdict) *httpw.Response {
	reason, status := quotaRefusal(v.Result())
	if reason == "" {
		return nil
	}
	respond := e.wire.Refusal
	if status == http.StatusTooManyRequests {
		respond = e.wire.TooMany
	}
	// A customer far over its quota would use up the log rate needed for failures.
	if e.metrics.mayLogRoutine(e.clock.Now()) {
		e.logRejected(q.info, string(q.service), status, reason)
	} else {
		e.metrics.recordResponse(status, 0)
	}
	return respond(reason, timing.JitterAround(quotaRetryDelay))
}

// takeToken takes a token for a request of the customer that it names.
func (e *entry) takeToken(ctx context.Context, q *request) tokens.Verdict {
	return e.quotas.Take(ctx, q.identity.customer)
}

// returnUnusedToken returns the token of a request that no target got.
func (e *entry) returnUnusedToken(v tokens.Verdict, d *dispatch) {
	if d.tries.Reached() == 0 && d.inFlight == 0 && d.reason != "" {
		e.quotas.Return(v)
	}
}
