package daemon

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/claims"
	"trefoilthread/core/types"
	"trefoilthread/io/entry"
	"trefoilthread/io/peer"
	"trefoilthread/io/wire"
)

// send runs one attempt of a call on a target: directly if it is the own one,
// else through the daemon beside it.
func (d *Daemon) send(ctx context.Context, t types.Target, head *wire.CallHead, body io.Reader) (*wire.Answer, error) {
	head.Sender = d.node.Addr()
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
	<-d.ready
	if head.Route {
		return d.serveOnce(ctx, head, body)
	}
	s, ok := d.config.Document().Service(types.ServiceName(head.Service))
	if ok && head.ConfigAt < s.Version() {
		// The call was classified by an older configuration of this service. The
		// sender gets the version with this refusal, fetches the document and
		// classifies the call again.
		f := d.refuse(types.NotRun, "classified by an older configuration of the service")
		f.Stale = true
		return nil, f
	}
	d.heardConfig(head.Sender, head.ConfigAt)
	return d.local.Do(ctx, head, body)
}

func (d *Daemon) refuse(o types.Outcome, reason string) *wire.Failure {
	return &wire.Failure{Outcome: uint8(o), Reason: reason, Report: d.local.WireReport()}
}

func (d *Daemon) refuseMoved(reason string) *wire.Failure {
	f := d.refuse(types.NotRun, reason)
	f.Moved = true
	return f
}

// serveOnce claims the key of a call for another daemon and runs the call.
func (d *Daemon) serveOnce(ctx context.Context, head *wire.CallHead, body *wire.BodyReader) (*wire.Answer, error) {
	hash := claims.KeyHash(types.ServiceName(head.Service), head.Key)
	index := claims.PartitionOf(hash, d.set.Partitions())
	if t, ok := d.owner(index); !ok || t.ID() != d.id {
		return nil, d.refuseMoved("the key is kept by another daemon")
	}
	b, err := entry.ReadBody(body)
	if err != nil {
		return nil, d.refuse(types.BadRequest, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(head.Timeout)*time.Microsecond)
	defer cancel()
	ans, err := d.runOnce(ctx, head, b, hash, index)
	if err == nil {
		return ans, nil
	}
	var mv *movedError
	if errors.As(err, &mv) {
		return nil, d.refuseMoved(mv.Reason())
	}
	var f *types.Failure
	if errors.As(err, &f) {
		w := d.refuse(f.Outcome(), f.Reason())
		var stale *entry.StaleError
		w.Stale = errors.As(err, &stale)
		return nil, w
	}
	return nil, err
}
