package daemon

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/types"
	"trefoilthread/io/admin"
	"trefoilthread/io/opspb"
	"trefoilthread/io/wire"
)

// opsHandler serves the operators' calls.
func (d *Daemon) opsHandler() (string, http.Handler) {
	return admin.NewHandler(admin.Options{
		Store: d.store, Clock: d.clock, Log: d.log,
		Document: d.config.Document, Status: d.status, StatusChanged: d.statusChanged,
		Targets: d.listTargets, Drain: d.drainTarget,
		Quarantine: d.listQuarantine, Lift: d.liftQuarantine,
		TokenHash: func() map[string][sha256.Size]byte { return d.set.Operators() },
	})
}

// listTargets returns the known targets of a service, or of all services.
func (d *Daemon) listTargets(service types.ServiceName) []*opspb.TargetStatus {
	var out []*opspb.TargetStatus
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, dc := range d.dir.DataCentres() {
		s := d.dir.Summary(dc)
		for i := range s.Len() {
			t := s.Target(i)
			if service != "" && t.Service() != service {
				continue
			}
			if known, ok := d.dir.Target(d.now(), t.ID()); ok {
				t = known
			}
			out = append(out, &opspb.TargetStatus{
				Target: string(t.ID()), Service: string(t.Service()), DataCentre: string(t.DataCentre()),
				State: t.State().String(), Limit: int32(t.Slots()),
			})
		}
	}
	return out
}

// hexPrint writes a fingerprint as operators name it.
func hexPrint(fp types.Fingerprint) string { return fmt.Sprintf("%016x", uint64(fp)) }

// drainTarget takes a target out of service or back, through the daemon beside
// it.
func (d *Daemon) drainTarget(ctx context.Context, id types.TargetID, drain bool) (types.TargetState, error) {
	if id == d.id {
		d.local.Drain(drain)
		return d.local.State(), nil
	}
	d.mu.Lock()
	t, ok := d.dir.Target(d.now(), id)
	d.mu.Unlock()
	if !ok {
		return types.Down, errors.Wrapf(admin.ErrNoTarget, "%s", id)
	}
	var rep wire.Drained
	if err := d.node.Control(ctx, t.Address(), wire.KindDrain, &wire.Drain{Target: string(id), Drain: drain}, &rep); err != nil {
		return t.State(), err
	}
	return types.TargetState(rep.State), nil
}

// takeDrain drains the own target for an operator of another daemon.
func (d *Daemon) takeDrain(m *wire.Drain) (any, string) {
	if types.TargetID(m.Target) != d.id {
		return nil, "target " + m.Target + " is not here"
	}
	d.local.Drain(m.Drain)
	return &wire.Drained{State: uint8(d.local.State())}, ""
}
