// Package meter sets up metrics with tally and serves them in the Prometheus
// text format.
//
// Metric names are prefixed with "trefoilthread_". Tags are bounded in number:
// service, class and outcome, never a request id or a target of another
// daemon.
//
// # Usage
//
//	m := meter.New()
//	defer m.Close()
//	m.Scope().Tagged(map[string]string{"service": "bookings"}).Counter("calls").Inc(1)
//	mux.Handle("/metrics", m.Handler())
package meter
