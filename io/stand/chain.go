package stand

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ChainHeader lists the services that a target is to call one after the other,
// separated by commas: it calls the first and passes the rest on.
const ChainHeader = "Trefoil-Chain"

// maxChain is the deepest chain of services that callers use.
const maxChain = 9

// callNext calls the next service of a chain through the daemon beside the
// target and adds the targets that ran to a. It fails only if ctx ends; a
// failed call is reported in the answer.
func (t *Target) callNext(ctx context.Context, r *http.Request, a *Answer) error {
	var names []string
	for name := range strings.SplitSeq(r.Header.Get(ChainHeader), ",") {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	depth, _ := strconv.Atoi(r.Header.Get("Trefoil-Depth"))
	switch {
	case len(names) == 0:
		return nil
	case len(names) > maxChain || depth >= maxChain || t.opts.DaemonEntry == "":
		a.Failed = http.StatusBadRequest
		return nil
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+t.opts.DaemonEntry+"/s/"+names[0]+r.URL.RequestURI(), nil)
	if err != nil {
		a.Failed = http.StatusBadRequest
		return nil
	}
	req.Header.Set(ChainHeader, strings.Join(names[1:], ","))
	req.Header.Set("Trefoil-Depth", strconv.Itoa(depth))
	// The next call is another request: with the same identity, a service that
	// appears twice in a chain would look like a duplicate run.
	for _, h := range []string{"Trefoil-Request", "Idempotency-Key"} {
		if v := r.Header.Get(h); v != "" {
			req.Header.Set(h, v+"."+strconv.Itoa(depth+1))
		}
	}
	if end, ok := ctx.Deadline(); ok {
		req.Header.Set("Trefoil-Timeout", time.Until(end).String())
	}
	next, status, err := t.exchange(req)
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case err != nil:
		a.Failed = http.StatusBadGateway
	case status != http.StatusOK:
		a.Failed = status
	}
	a.Chain = append(a.Chain, next.Chain...)
	return nil
}

// exchange sends a request and reads the answer of the next target.
func (t *Target) exchange(req *http.Request) (next Answer, status int, err error) {
	resp, err := t.client.Do(req)
	if err != nil {
		return next, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return next, 0, errors.Wrap(err, "read the answer of the next service")
	}
	if resp.Header.Get("Content-Type") == "application/json" {
		// The daemon's errors are JSON of another shape and leave the chain
		// empty; the status tells them apart.
		_ = json.Unmarshal(body, &next)
	}
	return next, resp.StatusCode, nil
}
