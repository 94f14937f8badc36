package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"trefoilthread/io/agent"
	"trefoilthread/io/logs"
	"trefoilthread/io/meter"
	"trefoilthread/io/prefs"
	"trefoilthread/platform"
)

type runCmd struct {
	File string `arg:"" optional:"" help:"Settings file." type:"path" env:"TREFOILTHREAD_NODE_FILE"`
}

// reloadInterval is how often the settings file is checked for changes, which may come
// without a signal.
const reloadInterval = 2 * time.Second

// gcPercent keeps the heap small, as memory costs more than processor time on the VMs.
const gcPercent = 50

// Run runs the daemon until SIGTERM or an interrupt, then stops gracefully.
func (c *runCmd) Run() error {
	// The signals are caught first: one that comes before would end the process.
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
	scope := m.Scope()
	a := agent.New(agent.Options{
		Settings: p.Agent(), Wire: platform.Wire(), Clock: clock, Log: l,
		Store:          platform.NewStoreWith(p.StoreAddress(), platform.StoreOptions{Broken: brokenAnswers(l, scope)}),
		Scope:          scope,
		Elapsed:        agent.SinceBoot,
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

// brokenAnswers returns a function that logs and counts answers of the store that broke off or
// aren't valid.
func brokenAnswers(l log.Interface, scope tally.Scope) func(path string, err error) {
	return func(path string, err error) {
		scope.Counter("store_answers_broken").Inc(1)
		l.WithError(err).WithField("path", path).Warn("answer of the store broke off or isn't valid")
	}
}

// reloader applies changed settings to the running agent. Only the service changes;
// addresses and all other settings apply from the next start.
type reloader struct {
	file    string
	log     log.Interface
	agent   *agent.Agent
	modTime time.Time
}

// reload reads the settings file if it has changed since the last check, or if cause
// names a signal. Invalid settings are logged and ignored.
func (r *reloader) reload(cause string) {
	st, err := os.Stat(r.file)
	if err != nil {
		r.log.WithError(err).Warn("failed to check settings file, keeping the settings in force")
		return
	}
	if cause == "" && (r.modTime.IsZero() || st.ModTime().Equal(r.modTime)) {
		r.modTime = st.ModTime()
		return
	}
	r.modTime = st.ModTime()
	p, err := prefs.Load(r.file)
	if err != nil {
		r.log.WithError(err).Error("invalid settings, keeping those in force")
		return
	}
	r.agent.SetService(p.Agent().Service)
	r.log.WithField("cause", cause).WithField("service", string(p.Agent().Service)).Info("settings reloaded")
}
