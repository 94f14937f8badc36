package daemon

import (
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"trefoilthread/io/entry"
	"trefoilthread/io/peer"
	"trefoilthread/io/target"
)

// listen opens the three sockets of the daemon.
func (d *Daemon) listen() error {
	var err error
	if d.callers, err = net.Listen("tcp", d.set.CallerAddress()); err != nil {
		return errors.Wrap(err, "address for callers")
	}
	if d.admin, err = net.Listen("tcp", d.set.LocalAddress()); err != nil {
		return errors.Wrap(err, "local address")
	}
	d.node, err = peer.Listen(peer.Options{
		Address: d.set.PeerAddress(), Identity: d.opts.Identity, Call: d.serveCall, Control: d.serveControl,
		StallAfter: d.set.StallAfter(), Clock: d.clock, Log: d.log,
	})
	return err
}

// serve answers callers, the target and operators.
func (d *Daemon) serve() {
	srv := entry.NewServer(entry.ServerOptions{
		Classify: d.classify, Ready: func() bool { return d.config.Version() > 0 }, Do: d.do, Scope: d.meter.Scope(), Log: d.log,
	})
	d.handle(d.callers, srv.HTTPServer())
	r := mux.NewRouter()
	r.Handle("/announce", target.AnnounceHandler(d.local.Announce)).Methods(http.MethodPost)
	r.Handle("/metrics", d.meter.Handler()).Methods(http.MethodGet)
	path, ops := d.opsHandler()
	r.PathPrefix(path).Handler(ops)
	admin := srv.HTTPServer()
	admin.Handler = r
	d.handle(d.admin, admin)
}

func (d *Daemon) handle(ln net.Listener, s *http.Server) {
	d.servers = append(d.servers, s)
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		if err := s.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			d.log.WithError(err).Error("listener failed")
		}
	}()
}
