package daemon

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"trefoilthread/core/poison"
	"trefoilthread/core/types"
	"trefoilthread/io/opspb"
	"trefoilthread/io/target"
	"trefoilthread/io/wire"
)

const (
	// tellTimeout bounds how long the callers of a target that died wait until
	// the other daemons know its requests as suspects.
	tellTimeout  = time.Second
	tellParallel = 64
)

// checkPrint tells whether a request is suspected of crashing targets.
func (d *Daemon) checkPrint(fp types.Fingerprint) poison.Status {
	d.poisonMu.Lock()
	defer d.poisonMu.Unlock()
	return d.poison.Check(d.now(), fp)
}

// enter decides whether a request may be handed to the own target now. Refusals aren't
// recorded (poison.Table.Refuse): a quarantine is 10 min here, and a harmless request
// shouldn't be refused for four times as long.
func (d *Daemon) enter(fp types.Fingerprint) (types.Outcome, string) {
	d.poisonMu.Lock()
	defer d.poisonMu.Unlock()
	now := d.now()
	switch d.poison.Check(now, fp) {
	case poison.Quarantined:
		return types.Quarantined, "the same request has crashed two targets"
	case poison.Suspect:
		if !d.poison.AdmitTrial(now, fp) {
			return types.NotRun, "another request suspected of crashing targets is on trial"
		}
	default:
		d.poison.Begin(now, fp)
	}
	return types.Done, ""
}

// left records how a request that entered ended.
func (d *Daemon) left(fp types.Fingerprint, how target.Ending) {
	d.poisonMu.Lock()
	now := d.now()
	cleared := false
	if how == target.GivenUp {
		d.poison.Cancel(now, fp)
	} else {
		cleared = d.poison.End(now, fp, how == target.Whole)
		if how == target.Whole && !cleared && d.poison.Check(now, fp) == poison.Suspect {
			// A request that crashes each target that runs it never gets a whole
			// answer. One that was running elsewhere when it became a suspect and
			// has ended well needs no trial.
			cleared = d.poison.Clear(now, fp)
		}
	}
	var entries []poison.Entry
	if cleared {
		entries = d.poison.Entries(now, []types.Fingerprint{fp})
	}
	d.poisonMu.Unlock()
	if cleared {
		go d.tellSuspects(entries)
	}
}

// targetDied makes the requests in flight suspects and returns when the other
// daemons know of them, or after tellTimeout.
func (d *Daemon) targetDied() {
	d.poisonMu.Lock()
	now := d.now()
	prints := d.poison.TargetDied(now)
	entries := d.poison.Entries(now, prints)
	d.poisonMu.Unlock()
	if len(prints) == 0 {
		return
	}
	d.log.WithField("requests", len(prints)).Warn("requests in flight at the target's death are suspects")
	d.tellSuspects(entries)
}

// tellSuspects sends entries to all known daemons. Deaths are rare, so this is
// done directly, without the leaders.
func (d *Daemon) tellSuspects(entries []poison.Entry) {
	ctx, cancel := context.WithTimeout(d.ctx, tellTimeout)
	defer cancel()
	msg := wire.SuspectsOf(entries)
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(tellParallel)
	for _, addr := range d.daemons() {
		g.Go(func() error {
			if err := d.node.Control(gctx, addr, wire.KindSuspects, msg, nil); err != nil {
				d.log.WithError(err).WithField("peer", addr).Warn("suspects not delivered")
			}
			return nil
		})
	}
	// The functions return no errors: whoever is not reached learns of the
	// suspects from its leader when it joins again.
	_ = g.Wait()
}

// daemons returns the addresses of all other known daemons.
func (d *Daemon) daemons() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, dc := range d.dir.DataCentres() {
		s := d.dir.Summary(dc)
		for i := range s.Len() {
			if s.Target(i).ID() != d.id {
				out = append(out, s.Target(i).Address())
			}
		}
	}
	return out
}

// takeSuspects learns what another daemon knows and answers with all that is
// known here.
func (d *Daemon) takeSuspects(m *wire.Suspects) any {
	d.poisonMu.Lock()
	defer d.poisonMu.Unlock()
	now := d.now()
	d.poison.Learn(now, m.Core())
	if len(m.Entries) > 0 {
		return nil
	}
	return wire.SuspectsOf(d.poison.Entries(now, nil))
}

// askSuspects gets what the leader knows, after this daemon has joined.
func (d *Daemon) askSuspects(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var all wire.Suspects
	if err := d.node.Control(ctx, addr, wire.KindSuspects, &wire.Suspects{}, &all); err != nil {
		d.log.WithError(err).Warn("suspects not received from the leader")
		return
	}
	d.poisonMu.Lock()
	defer d.poisonMu.Unlock()
	d.poison.Learn(d.now(), all.Core())
}

// listQuarantine returns suspects and quarantined requests for operators.
func (d *Daemon) listQuarantine() []*opspb.QuarantineEntry {
	d.poisonMu.Lock()
	defer d.poisonMu.Unlock()
	var out []*opspb.QuarantineEntry
	now := d.now()
	for _, e := range d.poison.List(now) {
		out = append(out, &opspb.QuarantineEntry{
			Fingerprint: hexPrint(e.Fingerprint), Deaths: int32(len(e.Deaths)), State: d.poison.Check(now, e.Fingerprint).String(),
		})
	}
	return out
}

// liftQuarantine lets a request run again, everywhere.
func (d *Daemon) liftQuarantine(_ context.Context, fp types.Fingerprint) (bool, error) {
	d.poisonMu.Lock()
	lifted := d.poison.Lift(fp)
	entries := d.poison.Entries(d.now(), []types.Fingerprint{fp})
	d.poisonMu.Unlock()
	if lifted {
		d.tellSuspects(entries)
	}
	return lifted, nil
}
