package daemon

import (
	"context"
	"time"

	"trefoilthread/core/config"
	"trefoilthread/core/types"
	"trefoilthread/io/entry"
	"trefoilthread/io/wire"
)

// configKey is the store key of the configuration document.
const configKey = "config/doc"

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

// offerDocument puts an encoded document in force if it is newer.
func (d *Daemon) offerDocument(data []byte) error {
	doc, err := config.Decode(data)
	if err != nil {
		return err
	}
	if !d.config.Offer(doc) {
		return nil
	}
	d.encoded.Store(&data)
	d.log.WithField("version", doc.Version()).Info("configuration in force")
	d.applyDocument(doc)
	// The leader counts this daemon when it hears of the version.
	d.beatNow()
	return nil
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
		var doc wire.Document
		if err := d.node.Control(fctx, addr, wire.KindConfig, nil, &doc); err != nil {
			return nil, err
		}
		return nil, d.offerDocument(doc.Data)
	})
	return err
}

// document returns the encoded document in force, nil for none.
func (d *Daemon) document() []byte {
	if p := d.encoded.Load(); p != nil {
		return *p
	}
	return nil
}
