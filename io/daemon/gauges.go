package daemon

import (
	"context"
	"time"

	"trefoilthread/core/types"
)

// gaugesEvery is how often the state of the daemon is copied to its metrics.
const gaugesEvery = 2 * time.Second

// reportGauges keeps the gauges up to date until ctx ends.
func (d *Daemon) reportGauges(ctx context.Context) {
	for {
		d.setGauges()
		select {
		case <-ctx.Done():
			return
		case <-d.clock.After(gaugesEvery):
		}
	}
}

func (d *Daemon) setGauges() {
	sc := d.meter.Scope()
	now := d.now()
	d.mu.Lock()
	_, leading := d.holder.MayAct(now)
	rec, _ := d.holder.Leader()
	known := d.dir.Len()
	members := d.dir.Summary(d.set.DataCentre()).Len()
	d.mu.Unlock()
	r := d.local.Report()
	for name, v := range map[string]float64{
		"leader":                      boolGauge(leading),
		"leader_known":                boolGauge(rec.Holder() != ""),
		"targets_known":               float64(known),
		"members":                     float64(members),
		"config_version":              float64(d.config.Version()),
		"target_up":                   boolGauge(d.local.State() == types.Up),
		"target_in_flight":            float64(r.InFlight()),
		"target_queued":               float64(r.Queued()),
		"target_limit":                float64(r.Limit()),
		"certificate_expires_seconds": d.opts.Identity.NotAfter().Sub(now).Seconds(),
	} {
		sc.Gauge(name).Update(v)
	}
	d.poisonMu.Lock()
	suspects := len(d.poison.List(now))
	d.poisonMu.Unlock()
	sc.Gauge("suspects").Update(float64(suspects))
	c := d.budget.Counts()
	sc.Gauge("store_calls_refused").Update(float64(c.Refused))
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
