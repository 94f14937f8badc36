package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"trefoilthread/io/agent"
	"trefoilthread/io/logs"
	"trefoilthread/io/meter"
	"trefoilthread/io/prefs"
	"trefoilthread/platform"
)

type runCmd struct {
	File string `arg:"" optional:"" help:"Settings file." type:"path" env:"TREFOILTHREAD_NODE_FILE"`
}

// reloadInterval is how often the settings file is looked at, which may change
// without a signal.
const reloadInterval = 2 * time.Second

// gcPercent keeps the heap small: memory costs more here than processor time.
const gcPercent = 50

// Run runs the daemon until SIGTERM or an interrupt, then stops gracefully.
func (c *runCmd) Run() error {
	// First of all: a signal that comes before would end the process.
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	p, err := prefs.Load(c.File)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	clock := clockwork.NewRealClock()
	out := logs.NewBounded(logs.BoundedOptions{Out: os.Stdout, PerSecond: p.LogRate(), Clock: clock})
	defer out.Flush()
	l, err := logs.New(out, p.LogLevel(), p.LogFormat())
	if err != nil {
		return err
	}
	out.Notes(l)
	m := meter.New()
	a := agent.New(agent.Options{
		Settings: p.Agent(), Wire: platform.Wire(), Clock: clock, Log: l, Store: platform.NewStore(p.StoreAddress()),
		Scope:          m.Scope(),
		Metrics:        m.Handler(),
		ReadyHandler:   platform.ReadyHandler,
		ControlHandler: platform.ControlHandler,
	})
	if err := a.Start(); err != nil {
		l.WithError(err).Error("agent not started")
		return err
	}
	ticker := clock.NewTicker(reloadInterval)
	defer ticker.Stop()
	r := reloader{file: c.File, log: l, agent: a}
	for {
		select {
		case <-stop:
			a.Stop()
			return nil
		case <-reload:
			r.reload("signal")
		case <-ticker.Chan():
			r.reload("")
		}
	}
}

// reloader takes changed settings over. Addresses stay as they are until the
// next start.
type reloader struct {
	file    string
	log     log.Interface
	agent   *agent.Agent
	changed time.Time
}

// reload reads the file if it has changed, or if there was a signal.
func (r *reloader) reload(cause string) {
	st, err := os.Stat(r.file)
	if err != nil {
		r.log.WithError(err).Warn("settings file not found, keeping the settings")
		return
	}
	if cause == "" && (r.changed.IsZero() || st.ModTime().Equal(r.changed)) {
		r.changed = st.ModTime()
		return
	}
	r.changed = st.ModTime()
	p, err := prefs.Load(r.file)
	if err != nil {
		r.log.WithError(err).Error("settings not valid, keeping those in force")
		return
	}
	r.agent.SetService(p.Agent().Service)
	r.log.WithField("cause", cause).WithField("service", string(p.Agent().Service)).Info("settings reloaded")
}
