// Package vhost implements the routing table for virtual hosts: it selects the
// service for a request and the timeout, retry limit and priority that apply.
//
// A Table is an immutable snapshot of one configuration version. Lookup finds
// the route by host name and longest matching path prefix. A route splits its
// requests over one or more services by weight. The service is chosen by a hash
// of the request id alone, so a retried request goes to the same service and
// the split does not depend on the load.
//
// Prefixes are compared with the path as given, byte by byte: percent-encoding
// is not decoded, dot segments are not resolved and case matters. Host names
// are compared without regard to case, and the port of a request's host is
// ignored.
//
// # Usage
//
//	t, err := vhost.New(spec)
//	r, ok := t.Lookup(host, path)
//	if !ok {
//		// No such route in this version.
//	}
//	service := r.Service(xxhash.Sum64String(id))
package vhost
