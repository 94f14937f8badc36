package agent

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilthread/core/types"
	"trefoilthread/core/vhost"
	"trefoilthread/io/httpw"
	"trefoilthread/io/mirror"
	"trefoilthread/io/tokens"
)

// maxExplainBytes bounds the body of a request for an explanation.
const maxExplainBytes = 64 << 10

// explainer tells operators where a request would go now. It asks the functions that decide
// on requests, but takes and counts nothing.
type explainer struct {
	entry  *entry
	target *localTarget
}

// ServeHTTP implements http.Handler.
func (x *explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var er ExplainRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxExplainBytes)).Decode(&er); err != nil {
		// The error isn't repeated: it may quote a header.
		writeJSON(w, http.StatusBadRequest, ExplainError{Error: "request for an explanation not understood"})
		return
	}
	out, status, reason := x.explain(&er)
	if out == nil {
		writeJSON(w, status, ExplainError{Error: reason})
		return
	}
	writeJSON(w, http.StatusOK, out)
}

// writeJSON writes a response. An error isn't reported: the client has disconnected.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// explain returns the explanation, or the status and reason why there is none. It follows
// the steps of entry.handle.
func (x *explainer) explain(er *ExplainRequest) (out *Explanation, status int, reason string) {
	req, ok := er.request(x.entry.wire)
	if !ok {
		return nil, http.StatusBadRequest, "a header with an API key or a customer isn't accepted: name the customer"
	}
	now := x.entry.clock.Now()
	info, isValid := x.entry.wire.ReadRequestInfo(req)
	k := x.entry.fresh.Now()
	t := x.entry.table.get()
	if t == nil {
		return nil, http.StatusServiceUnavailable, "no configuration yet"
	}
	r, ok := t.Lookup(er.Host, er.Path)
	if !ok {
		return nil, http.StatusNotFound, "no route for this host and path in version " + itoa(t.Version())
	}
	c, isKnown := t.Customer(types.CustomerName(er.Customer))
	if er.Customer != "" && !isKnown {
		return nil, http.StatusNotFound, "no such customer in version " + itoa(t.Version())
	}
	q := newRequest(now, info, req, t, r, xxhash.Sum64String(info.ID))
	out = &Explanation{
		Config: t.Version(), StoreAgeMs: x.storeAgeMs(), KeysServed: k.IsRecent(),
		Route: ExplainedRoute{
			Name: r.Name(), Rank: r.Rank(), Attempts: r.Attempts(), AtMostOnce: r.Runs() == types.AtMostOnce, Public: r.IsPublic(),
		},
	}
	usage := tokens.Within
	if needsKey(t, r) && isKnown {
		q.identity = identity{customer: c, until: k.Until()}
		out.Customer, usage = x.customer(c)
	}
	if info.ID != "" && !isValid {
		out.Refusal = &ExplainedRefusal{http.StatusBadRequest, reasonNoID}
	} else {
		out.Refusal = x.refusal(q, t, k, usage)
	}
	out.Services = x.services(q, er.BodyBytes)
	return out, 0, ""
}

// request returns the request without its body; false if it has a key or names a customer.
func (er *ExplainRequest) request(wire Wire) (*httpw.Request, bool) {
	req := &httpw.Request{Method: er.Method, Target: er.Path, Header: httpw.Header{{Name: "Host", Value: er.Host}}}
	for _, f := range er.Headers {
		req.Header.Add(f.Name, f.Value)
	}
	return req, len(wire.WithoutKey(req.Header)) == len(req.Header)
}

// storeAgeMs returns Explanation.StoreAgeMs.
func (x *explainer) storeAgeMs() int64 {
	if age := x.entry.fresh.StoreAge(); age < mirror.UnknownAge {
		return age.Milliseconds()
	}
	return -1
}

// customer explains the customer of a request, and returns what its quota would decide.
func (x *explainer) customer(c *vhost.Customer) (*ExplainedCustomer, tokens.Result) {
	usage, usedUp := x.entry.quotas.Forecast(c)
	return &ExplainedCustomer{
		Name: string(c.Name()), Rank: c.Rank(), RequestsPerS: c.PerSecond(), Burst: c.Burst(), UsedUp: usedUp,
	}, usage
}

// refusal returns the refusal of a request that is not passed on to any target, nil if it
// is. Whether it has crashed targets isn't known without its body.
func (x *explainer) refusal(q *request, t *vhost.Table, k mirror.Knowledge, usage tokens.Result) *ExplainedRefusal {
	if needsKey(t, q.route) {
		hasKey := q.identity.customer != nil
		switch reason := keyRefusal(hasKey, hasKey, k); reason {
		case "":
		case reasonStale:
			return x.refused(reason)
		default:
			return &ExplainedRefusal{http.StatusUnauthorized, reason}
		}
	}
	if s := x.entry.stop(); s != nil && !q.applyStop(q.start, s) {
		return x.refused("agent is stopping")
	}
	if reason, status := quotaRefusal(usage); reason != "" {
		return &ExplainedRefusal{status, reason}
	}
	return nil
}

// refused returns what the platform tells a caller whose request has not run.
func (x *explainer) refused(reason string) *ExplainedRefusal {
	return &ExplainedRefusal{x.entry.wire.Refusal(reason, time.Second).Status, reason}
}
