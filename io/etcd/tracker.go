package etcd

import (
	"io"
	"net/http"
)

// tracker is a transport that records whether a request was sent.
//
// Unless repeat is set, as for reads, it also keeps the HTTP/2 transport from sending a
// request again. By itself the transport repeats one after some stream errors,
// among them a PROTOCOL_ERROR of the server, which does not prove that the
// first one had no effect. The repeated compare-and-swap would then fail its
// own compare.
type tracker struct {
	next   http.RoundTripper
	repeat bool
}

// RoundTrip implements http.RoundTripper.
func (t tracker) RoundTrip(r *http.Request) (*http.Response, error) {
	a := attemptOf(r.Context())
	body := &trackedBody{ReadCloser: r.Body, attempt: a}
	tracked := *r
	tracked.Body, tracked.GetBody = body, nil
	if t.repeat && r.GetBody != nil {
		tracked.GetBody = func() (io.ReadCloser, error) {
			again, err := r.GetBody()
			return &trackedBody{ReadCloser: again, attempt: a}, err
		}
	}
	resp, err := t.next.RoundTrip(&tracked)
	if err != nil {
		body.stopped.Store(true)
	}
	return resp, err
}
