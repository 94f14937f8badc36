package etcd

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"trefoilthread/io/store"

	"github.com/cockroachdb/errors"
)

// Client is a client of the published etcd v3 API over gRPC.
type Client struct {
	opts      Options
	transport *http.Transport
	endpoints []*endpoint
	current   atomic.Uint32 // index of the endpoint that is tried first
}

// New returns a client for endpoints given as http or https URLs. HTTP/2
// is used with both. It makes no connection yet.
func New(endpoints []string, o Options) (*Client, error) {
	if len(endpoints) == 0 {
		return nil, errors.New("store: no endpoints")
	}
	o = o.withDefaults()
	var p http.Protocols
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	e := &Client{opts: o, transport: &http.Transport{
		DialContext:     (&net.Dialer{Timeout: o.DialTimeout}).DialContext,
		TLSClientConfig: o.TLS,
		Protocols:       &p,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: o.PingAfter,
			PingTimeout:     o.PingTimeout,
		},
		TLSHandshakeTimeout: o.DialTimeout,
	}}
	for _, s := range endpoints {
		u, err := url.Parse(s)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return nil, errors.Newf("store: endpoint %q is not an http or https URL", s)
		}
		e.endpoints = append(e.endpoints, newEndpoint(s, e.transport))
	}
	return e, nil
}

// Store returns the operations.
func (e *Client) Store() store.Store {
	return store.Store{
		Get:            e.get,
		CompareAndSwap: e.compareAndSwap,
		Watch:          e.watch,
		Grant:          e.grant,
		Renew:          e.renew,
		Revoke:         e.revoke,
	}
}

// Close closes idle connections. Calls in progress are not ended.
func (e *Client) Close() { e.transport.CloseIdleConnections() }

// call runs fn on an endpoint, and on the next one only after an error that
// proves that nothing was sent: an answer that was lost may not be bought with
// a second call that the platform counts as well. After any failure without
// an answer, later calls begin with the next endpoint. It reports whether the
// last attempt began to send.
func (e *Client) call(ctx context.Context, fn func(context.Context, *endpoint) error) (sent bool, err error) {
	for range e.endpoints {
		i := e.current.Load()
		var a attempt
		err = fn(withAttempt(ctx, &a), e.endpoints[i])
		if err == nil || answered(err) {
			return true, err
		}
		if errors.Is(ctx.Err(), context.Canceled) {
			// The caller gave up: no sign of a fault of the endpoint.
			return a.began.Load(), err
		}
		e.current.CompareAndSwap(i, (i+1)%uint32(len(e.endpoints)))
		if a.began.Load() || ctx.Err() != nil {
			return a.began.Load(), err
		}
	}
	return false, err
}
