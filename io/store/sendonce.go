package store

import "net/http"

// sendOnce keeps the HTTP/2 transport from sending a request again. By itself
// the transport repeats a request after some stream errors, among them a
// PROTOCOL_ERROR of the server, which does not prove that the first one had no
// effect. The repeated compare-and-swap would then fail its own compare.
type sendOnce struct {
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (s sendOnce) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.GetBody == nil {
		return s.next.RoundTrip(r)
	}
	once := *r
	once.GetBody = nil
	return s.next.RoundTrip(&once)
}
