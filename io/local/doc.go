// Package local sends requests to the target on the same VM.
//
// Connections are kept and used for one request at a time. A response counts
// only if it belongs to the request (Options.Belongs); another one that comes
// first is a late extra response, which is dropped. A connection on which
// anything unexpected happened is closed.
//
// # What an error proves
//
// ErrNotSent means that no byte of the request was sent. Any other error means
// that the target may have run it, also a reset before the first response
// byte.
//
// # Usage
//
//	c := local.New(local.Options{Addr: addr, Belongs: belongs, Limits: limits, Clock: clock})
//	resp, err := c.Do(ctx, req)
package local
