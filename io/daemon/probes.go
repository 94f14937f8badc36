package daemon

import (
	"trefoilthread/core/probe"
	"trefoilthread/core/types"
)

// grantProbe asks the measurement budget of the own target for one probe. It
// is the only place that grants one.
func (d *Daemon) grantProbe() bool {
	service := types.ServiceName(d.local.Announcement().Service)
	s, ok := d.config.Document().Service(service)
	d.probeMu.Lock()
	defer d.probeMu.Unlock()
	now := d.now()
	if ok && s.ProbeBudget() != d.probes.Budget() {
		d.probes.SetBudget(s.ProbeBudget())
	}
	granted := d.probes.Grant(now, probe.Cost).Granted()
	if granted {
		d.meter.Scope().Counter("probes").Inc(1)
	}
	return granted
}
