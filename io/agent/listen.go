package agent

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
)

const (
	// controlReadTime bounds the time of a whole request of the target or of the platform,
	// which waits a second for its answer.
	controlReadTime = 3 * time.Second
	// maxControlHeader bounds the header of such a request in bytes.
	maxControlHeader = 16 << 10
)

// listen opens the addresses of the settings and serves them.
func (a *Agent) listen() error {
	set := a.opts.Settings
	callers, err := a.listenAt(set.Callers)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	links, err := a.listenAt(set.Mesh)
	if err != nil {
		return errors.Wrap(err, "listen for other agents")
	}
	go a.runServer("callers", func() error { return a.front.Serve(callers) })
	go a.runServer("mesh", func() error { return a.server.Serve(links) })
	for addr, h := range map[string]http.Handler{
		set.Ready: a.opts.ReadyHandler(a), set.Control: a.opts.ControlHandler(a), set.Metrics: a.metricsHandler(),
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

// metricsHandler serves Settings.Metrics, an address for operators: the metrics, and
// explanations.
func (a *Agent) metricsHandler() http.Handler {
	r := mux.NewRouter()
	r.Handle(ExplainPath, a.explainer).Methods(http.MethodPost)
	if a.opts.Metrics != nil {
		r.PathPrefix("/").Handler(a.opts.Metrics)
	}
	return r
}

// listenAt opens one address of the settings.
func (a *Agent) listenAt(addr string) (net.Listener, error) {
	if a.opts.Listen != nil {
		return a.opts.Listen(addr)
	}
	return net.Listen("tcp4", addr)
}

func (a *Agent) serveHTTP(addr string, h http.Handler) error {
	ln, err := a.listenAt(addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	srv := &http.Server{
		Handler: h, MaxHeaderBytes: maxControlHeader,
		ReadHeaderTimeout: 2 * time.Second, ReadTimeout: controlReadTime, IdleTimeout: 30 * time.Second,
	}
	a.httpServers = append(a.httpServers, srv)
	go a.runServer(addr, func() error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

func (a *Agent) runServer(name string, serve func() error) {
	if err := serve(); err != nil {
		a.log.WithError(err).WithField("listener", name).Error("listener failed")
	}
}
