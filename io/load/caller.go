package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/types"
	"trefoilthread/io/entry"
	"trefoilthread/io/stand"
)

// caller sends calls to daemons.
type caller struct {
	http *http.Client
}

func newCaller(conns int) *caller {
	return &caller{http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: conns, MaxIdleConns: 0, DisableCompression: true,
	}}}
}

// call sends one call of kind k to the daemon at addr. key is its idempotency
// key, or "". due is when the call should have started.
func (c *caller) call(ctx context.Context, addr string, k Kind, key string, due time.Time) result {
	// The daemon answers by the deadline; the margin only bounds a caller that
	// gets no answer at all.
	ctx, cancel := context.WithTimeout(ctx, k.timeout+5*time.Second)
	defer cancel()
	res := result{outcome: types.Unknown, key: key}
	req, err := http.NewRequestWithContext(ctx, k.call.Method(), "http://"+addr+"/s/"+k.service+k.call.Path(), nil)
	if err != nil {
		return res
	}
	if key != "" {
		req.Header.Set(entry.HeaderKey, key)
		// A caller's own HTTP client must not repeat a call by itself either.
		req.Body = io.NopCloser(emptyBody{})
	}
	resp, err := c.http.Do(req)
	if err != nil {
		res.latency = time.Since(due)
		res.aborted, res.reason = errors.Is(ctx.Err(), context.Canceled), err.Error()
		return res
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	body, err := io.ReadAll(resp.Body)
	res.latency = time.Since(due)
	if err != nil {
		res.aborted, res.reason = errors.Is(ctx.Err(), context.Canceled), err.Error()
		return res
	}
	res.status = resp.StatusCode
	res.outcome = outcomeNamed(resp.Header.Get(entry.HeaderOutcome))
	if res.outcome != types.Done || resp.StatusCode >= 500 {
		res.reason = string(body[:min(len(body), 200)])
		res.request = requestOf(body, resp.Header.Get(entry.HeaderRequest))
		return res
	}
	var a stand.Answer
	if err := json.Unmarshal(body, &a); err != nil {
		res.cut = true
		return res
	}
	res.request = a.Request
	res.crossed = a.Key != key || a.Path != k.call.Path() || a.Service != k.service ||
		a.Request != resp.Header.Get(entry.HeaderRequest)
	return res
}

// requestOf returns the id a request had at the targets: from the body of a
// daemon's own answer, or from the header of a target's.
func requestOf(body []byte, header string) string {
	var f struct {
		Request string `json:"request"`
	}
	// A target's error answer is no JSON and has no id in its body.
	if err := json.Unmarshal(body, &f); err == nil && f.Request != "" {
		return f.Request
	}
	return header
}

// emptyBody hides from net/http that a request has no body to rewind.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

func outcomeNamed(name string) types.Outcome {
	for o := types.Done; o <= types.Canceled; o++ {
		if o.String() == name {
			return o
		}
	}
	return types.Unknown
}

var errNoEntries = errors.New("no daemon to send calls to")
