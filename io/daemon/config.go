package daemon

import (
	"context"
	"time"

	"trefoilthread/core/config"
	"trefoilthread/core/types"
	"trefoilthread/io/entry"
	"trefoilthread/io/wire"
)

// fetchTimeout bounds getting a document from another daemon.
const fetchTimeout = 2 * time.Second

// classify returns what the configuration in force says of a call.
func (d *Daemon) classify(service types.ServiceName, method, path string) (entry.Rule, bool) {
	doc := d.config.Document()
	s, ok := doc.Service(service)
	if !ok {
		return entry.Rule{}, false
	}
	r := s.Classify(method, path)
	return entry.Rule{
		Class: r.Class(), Deadline: r.Deadline(), Worth: r.Worth(), Version: doc.Version(), MaxBody: s.MaxBodyBytes(),
	}, true
}

// limits returns the slots and connections of a service's targets.
func (d *Daemon) limits(service string) (slots, conns int, ok bool) {
	s, ok := d.config.Document().Service(types.ServiceName(service))
	return s.Slots(), s.Connections(), ok
}

// offerDocument puts a stored document in force if it is newer.
func (d *Daemon) offerDocument(data []byte) error {
	doc, err := config.Decode(data)
	if err != nil {
		return err
	}
	d.offer(doc)
	return nil
}

// offer puts a document in force if it is newer.
func (d *Daemon) offer(doc config.Document) {
	if !d.config.Offer(doc) {
		return
	}
	d.log.WithField("version", doc.Version()).Info("configuration in force")
	d.applyDocument(doc)
	// The leader counts this daemon when it hears of the version.
	d.beatNow()
}

// heardConfig notes that the daemon at addr has the given version.
func (d *Daemon) heardConfig(addr string, version int64) {
	if version > d.config.Version() {
		d.fetches.Put(addr)
	}
}

// fetchDocuments gets newer documents from daemons that have them, one at a
// time, until ctx ends. A full ring drops requests: the next message from a
// daemon with a newer version makes another.
func (d *Daemon) fetchDocuments(ctx context.Context) {
	for {
		addr, err := d.fetches.Take(ctx)
		if err != nil {
			return
		}
		if err := d.fetchFrom(ctx, addr); err != nil {
			d.log.WithError(err).WithField("peer", addr).Warn("newer configuration not received")
		}
	}
}

// fetchFrom gets the document of the daemon at addr; calls at the same time
// share one request.
func (d *Daemon) fetchFrom(ctx context.Context, addr string) error {
	_, err, _ := d.flight.Do(addr, func() (any, error) {
		fctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		return nil, d.fetch(fctx, addr)
	})
	return err
}

// fetch asks the daemon at addr for the change since the version in force.
func (d *Daemon) fetch(ctx context.Context, addr string) error {
	var doc wire.Document
	have := d.config.Document()
	if err := d.node.Control(ctx, addr, wire.KindConfig, &wire.HaveConfig{Version: have.Version()}, &doc); err != nil {
		return err
	}
	dl, err := config.DecodeDelta(doc.Delta)
	if err != nil {
		return err
	}
	if next, ok := dl.After(have); ok {
		d.offer(next)
	}
	return nil
}

// takeHaveConfig answers a daemon that asks for a newer configuration.
func (d *Daemon) takeHaveConfig(m *wire.HaveConfig) (any, string) {
	data, err := config.EncodeDelta(d.config.Document().DeltaFrom(m.Version))
	if err != nil {
		return nil, err.Error()
	}
	return &wire.Document{Delta: data}, ""
}

// applyDocument makes the tasks that depend on the configuration follow it.
func (d *Daemon) applyDocument(config.Document) {
	d.flow.RefreshAll()
	d.pushNow()
}
