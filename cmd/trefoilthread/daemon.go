package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	"trefoilthread/io/certs"
	"trefoilthread/io/daemon"
	"trefoilthread/io/etcd"
	"trefoilthread/io/logs"
	"trefoilthread/io/setup"
)

type daemonCmd struct {
	File string `arg:"" help:"Settings file." type:"path"`
}

// Run runs the daemon until SIGTERM or an interrupt, then stops gracefully. A
// second signal ends it at once.
func (c *daemonCmd) Run() error {
	s, err := setup.Load(c.File)
	if err != nil {
		return err
	}
	l, err := logs.New(os.Stderr, s.LogLevel(), s.LogFormat())
	if err != nil {
		return err
	}
	id, err := certs.Load(s.CertFile(), s.KeyFile(), s.CAFile())
	if err != nil {
		return err
	}
	st, err := etcd.New(s.StoreEndpoints(), etcd.Options{})
	if err != nil {
		return err
	}
	defer st.Close()
	d, err := daemon.New(daemon.Options{Settings: s, Identity: id, Store: st.Store(), Log: l})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	if err := d.Start(); err != nil {
		return err
	}
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), s.StopBound())
	defer cancel()
	go func() {
		<-signals
		l.Warn("second signal, ending at once")
		cancel()
	}()
	if err := d.Stop(ctx); err != nil {
		return errors.Wrap(err, "calls were cut off")
	}
	return nil
}
