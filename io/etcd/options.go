package etcd

import (
	"crypto/tls"
	"time"
)

// Options are the properties of an Etcd. The zero value has the defaults.
type Options struct {
	// DialTimeout bounds the time to connect to an endpoint, 0 for 1 s.
	DialTimeout time.Duration
	// CallTimeout bounds a call over all endpoints, and the time until a watch
	// is in place, 0 for 3 s.
	CallTimeout time.Duration
	// PingAfter is the silence on a connection after which it is tested, and
	// PingTimeout the time for the response, 0 for 2 s and 1 s. They detect
	// connections that stopped responding under a pending watch.
	PingAfter, PingTimeout time.Duration
	// TLS is used for https endpoints, nil for the system's roots.
	TLS *tls.Config
}

func (o Options) withDefaults() Options {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&o.DialTimeout, time.Second},
		{&o.CallTimeout, 3 * time.Second},
		{&o.PingAfter, 2 * time.Second},
		{&o.PingTimeout, time.Second},
	} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	return o
}
