package agent

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// listen opens all sockets and serves them.
func (a *Agent) listen() error {
	set := a.opts.Settings
	callers, err := a.open(set.Callers)
	if err != nil {
		return errors.Wrap(err, "address for callers")
	}
	links, err := a.open(set.Mesh)
	if err != nil {
		return errors.Wrap(err, "address for other agents")
	}
	go a.watchServe("callers", func() error { return a.front.Serve(callers) })
	go a.watchServe("mesh", func() error { return a.server.Serve(links) })
	for addr, h := range map[string]http.Handler{
		set.Ready: a.opts.ReadyHandler(a), set.Control: a.opts.ControlHandler(a), set.Metrics: a.opts.Metrics,
	} {
		if addr == "" {
			continue
		}
		if err := a.serveHTTP(addr, h); err != nil {
			return err
		}
	}
	return nil
}

// open listens at one address of the settings.
func (a *Agent) open(addr string) (net.Listener, error) {
	if a.opts.Listen != nil {
		return a.opts.Listen(addr)
	}
	return net.Listen("tcp4", addr)
}

func (a *Agent) serveHTTP(addr string, h http.Handler) error {
	ln, err := a.open(addr)
	if err != nil {
		return errors.Wrapf(err, "address %s", addr)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 30 * time.Second}
	a.https = append(a.https, srv)
	go a.watchServe(addr, func() error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

func (a *Agent) watchServe(name string, serve func() error) {
	if err := serve(); err != nil {
		a.log.WithError(err).WithField("listener", name).Error("listener ended")
	}
}
