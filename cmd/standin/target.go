package main

import (
	"context"
	"time"

	"trefoilthread/io/stand"
)

// targetCommand runs a stand-in target.
type targetCommand struct {
	lifetime
	Name         string            `help:"Name in answers, the address by default."`
	Service      string            `required:"" help:"Service of the target."`
	Slots        int               `default:"12" help:"Requests that run at a time."`
	Connections  int               `default:"250" help:"Connections open at a time."`
	ServiceTime  stand.ServiceTime `default:"constant:10ms" placeholder:"KIND:MEAN[:SIGMA]" help:"Time a request occupies a slot: constant:10ms, exponential:10ms or lognormal:10ms:0.8."`
	ColdStart    time.Duration     `help:"Time during which requests are slow after a start."`
	ColdFactor   float64           `default:"5" help:"How many times slower they are."`
	Shed         bool              `help:"Answer 503 when all slots are occupied."`
	ProbeTime    time.Duration     `default:"6ms" help:"Time of an answer of /health and /load."`
	BodySize     int               `help:"Bytes of filler in an answer."`
	DaemonAdmin  string            `placeholder:"ADDR" help:"Admin address of the daemon beside the target, for announcements."`
	DaemonEntry  string            `placeholder:"ADDR" help:"Entry address of that daemon, for outgoing calls."`
	Seed         uint64            `help:"Seed of service times and failures."`
	Slowdown     float64           `default:"1" help:"Factor of all service times."`
	FailShare    float64           `help:"Share of requests that fail at once, 0 to 1."`
	LoadLag      time.Duration     `help:"Age of the load that /load answers."`
	LoadLie      int               `default:"-1" help:"Requests in flight that /load always answers, -1 for the truth."`
	HealthLag    time.Duration     `help:"Time after which /health reports a drain."`
	HealthLie    int               `help:"Status that /health always answers, 0 for the truth."`
	SwallowNext  int               `help:"First connections that take bytes and answer nothing."`
	RestartAfter time.Duration     `help:"Time from a crash to the restart, 0 for none."`
	CrashAfter   time.Duration     `help:"Crash after this time."`
	StallAfter   time.Duration     `help:"Stop answering after this time."`
	SwallowAfter time.Duration     `help:"Make the open connections silent after this time."`
	DrainAfter   time.Duration     `help:"Announce a drain after this time."`
	Grace        time.Duration     `default:"3s" help:"Time to take requests after announcing the end."`
	StopBound    time.Duration     `default:"20s" help:"Time to finish requests at the end."`
}

// Run serves until ctx ends, then drains.
func (c *targetCommand) Run(ctx context.Context) error {
	if c.ProbeTime == 0 {
		c.ProbeTime = -1 // the option's zero value is the default
	}
	t := stand.NewTarget(stand.TargetOptions{
		Name: c.Name, Service: c.Service, Slots: c.Slots, Connections: c.Connections,
		ServiceTime: c.ServiceTime, ColdStart: c.ColdStart, ColdFactor: c.ColdFactor,
		Shed: c.Shed, ProbeTime: c.ProbeTime, BodySize: c.BodySize,
		DaemonAdmin: c.DaemonAdmin, DaemonEntry: c.DaemonEntry,
		RestartAfter: c.RestartAfter, Seed: c.Seed,
	})
	t.SetSlowdown(c.Slowdown)
	t.SetFailing(c.FailShare)
	t.SetLoadLag(c.LoadLag)
	t.SetHealthLag(c.HealthLag)
	t.SetHealthLie(c.HealthLie)
	t.SwallowNext(c.SwallowNext)
	if c.LoadLie >= 0 {
		t.SetLoadLie(&stand.Load{InFlight: c.LoadLie, Slots: c.Slots})
	}
	defer t.Close()
	if err := t.Start(c.Addr); err != nil {
		return err
	}
	if err := c.wait(ctx, t.Addr(),
		planned{c.CrashAfter, t.Crash},
		planned{c.StallAfter, func() { t.SetStalled(true) }},
		planned{c.SwallowAfter, func() { t.SwallowOpen() }},
		planned{c.DrainAfter, t.Drain},
	); err != nil {
		return err
	}
	stopping, cancel := context.WithTimeout(context.Background(), c.Grace+c.StopBound)
	defer cancel()
	return t.Shutdown(stopping, c.Grace)
}
