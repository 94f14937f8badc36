package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"trefoilthread/core/types"
	"trefoilthread/io/target"
	"trefoilthread/io/wire"
)

// Headers of callers and targets.
const (
	HeaderService = "Trefoil-Service"
	HeaderTimeout = "Trefoil-Timeout"
	HeaderDepth   = "Trefoil-Depth"
	HeaderOutcome = "Trefoil-Outcome"
	HeaderRequest = "Trefoil-Request"
	HeaderKey     = "Idempotency-Key"
)

const (
	maxTimeout = 10 * time.Minute
	maxKey     = 255
	// firstTries is how many attempts a call starts with, the first included.
	firstTries = 4
)

// newHead describes the request r to service with the given path, as it goes
// to the daemon of a target.
func newHead(r *http.Request, service, path string, rule Rule, body *Body) (*wire.CallHead, error) {
	timeout, err := timeoutOf(r.Header, rule.Deadline)
	if err != nil {
		return nil, err
	}
	depth, err := depthOf(r.Header)
	if err != nil {
		return nil, err
	}
	key := r.Header.Get(HeaderKey)
	if len(key) > maxKey {
		return nil, errors.Newf("header %s has %d bytes, allowed %d", HeaderKey, len(key), maxKey)
	}
	h := r.Header.Clone()
	target.StripHopHeaders(h)
	for _, name := range []string{HeaderService, HeaderTimeout, HeaderDepth, HeaderOutcome, HeaderRequest} {
		h.Del(name)
	}
	length := r.ContentLength
	if body.whole {
		length = int64(len(body.head))
	}
	head := &wire.CallHead{
		ID: uuid.NewString(), Service: service, Method: r.Method, Path: path, Host: r.Host, Header: h,
		Length: length, Timeout: timeout.Microseconds(), Depth: depth, Key: key,
		Print: uint64(body.Fingerprint(service, r.Method, path)), Tries: firstTries,
	}
	rule.Apply(head)
	return head, nil
}

func timeoutOf(h http.Header, deflt time.Duration) (time.Duration, error) {
	v := h.Get(HeaderTimeout)
	if v == "" {
		return deflt, nil
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 || d > maxTimeout {
		return 0, errors.Newf("header %s is %q, allowed a duration from 1us to %s", HeaderTimeout, v, maxTimeout)
	}
	return d, nil
}

// depthOf returns the depth of a call: 0 for a caller's, one more than that of
// the call it is made for otherwise.
func depthOf(h http.Header) (int, error) {
	v := h.Get(HeaderDepth)
	if v == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 || n+1 > types.MaxDepth {
		return 0, errors.Newf("header %s is %q, allowed 0 to %d", HeaderDepth, v, types.MaxDepth-1)
	}
	return n + 1, nil
}
