package daemon

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/types"
	"trefoilthread/io/peer"
	"trefoilthread/io/wire"
)

// send runs one attempt of a call on a target: directly if it is the own one,
// else through the daemon beside it.
func (d *Daemon) send(ctx context.Context, t types.Target, head *wire.CallHead, body io.Reader) (*wire.Answer, error) {
	head.Sender = d.node.Addr()
	head.ConfigAt = d.config.Version()
	if t.ID() == d.id {
		return d.local.Do(ctx, head, body)
	}
	ans, err := d.node.Call(ctx, t.Address(), head, body)
	if err == nil {
		d.heardConfig(t.Address(), ans.Head.Report.ConfigAt)
		return ans, nil
	}
	var f *wire.Failure
	switch {
	case errors.As(err, &f):
		if f.Report.ConfigAt > d.config.Version() {
			// The refused call goes again only under the newer document.
			if ferr := d.fetchFrom(ctx, t.Address()); ferr != nil {
				d.log.WithError(ferr).Warn("newer configuration not received")
			}
		}
	case errors.Is(err, peer.ErrNotSent) && ctx.Err() == nil:
		d.observe(t, t.Incarnation(), types.Down)
	}
	return nil, err
}

// serveCall handles a call that another daemon sent for the own target.
func (d *Daemon) serveCall(ctx context.Context, head *wire.CallHead, body *wire.BodyReader) (*wire.Answer, error) {
	s, ok := d.config.Document().Service(types.ServiceName(head.Service))
	if ok && head.ConfigAt < s.Version() {
		// The sender routed by an older configuration of this service. It gets
		// the version with this refusal and fetches the document before it sends
		// again.
		return nil, d.refuse(types.NotRun, "routed by an older configuration of the service")
	}
	d.heardConfig(head.Sender, head.ConfigAt)
	return d.local.Do(ctx, head, body)
}

func (d *Daemon) refuse(o types.Outcome, reason string) *wire.Failure {
	return &wire.Failure{Outcome: uint8(o), Reason: reason, Report: d.local.WireReport()}
}
