package config

import (
	"slices"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/types"
)

// Delta is what a daemon needs to bring an earlier document up to date: the
// services that changed, without audit entries and request ids, which only the
// stored document needs. A document made from it has neither.
type Delta struct {
	from, to int64
	whole    bool // replaces all services, whatever the earlier document has
	services []Service
	deleted  []types.ServiceName
}

type deltaWire struct {
	Format   int                 `cbor:"1,keyasint"`
	From     int64               `cbor:"2,keyasint"`
	To       int64               `cbor:"3,keyasint"`
	Whole    bool                `cbor:"4,keyasint,omitempty"`
	Services []serviceWire       `cbor:"5,keyasint,omitempty"`
	Deleted  []types.ServiceName `cbor:"6,keyasint,omitempty"`
}

// DeltaFrom returns the change since a version. Deleted services are known
// from the audit entries; where those do not reach back to the version, the
// delta has all services.
func (d Document) DeltaFrom(version int64) Delta {
	dl := Delta{from: version, to: d.version}
	since := d.version - version
	if version <= 0 || since > int64(len(d.audit)) {
		dl.whole, dl.services = true, d.Services()
		return dl
	}
	for _, s := range d.services {
		if s.Version() > version {
			dl.services = append(dl.services, s)
		}
	}
	for _, e := range d.audit {
		if e.to <= version || e.action != Delete {
			continue
		}
		if _, there := d.find(e.service); !there {
			dl.deleted = append(dl.deleted, e.service)
		}
	}
	return dl
}

// To returns the version that the delta leads to.
func (dl Delta) To() int64 { return dl.to }

// Len returns the number of services changed or deleted.
func (dl Delta) Len() int { return len(dl.services) + len(dl.deleted) }

// After returns the document that follows d. It reports false if the delta is
// not newer than d, or does not reach back to it.
func (dl Delta) After(d Document) (Document, bool) {
	if dl.to <= d.version || !dl.whole && d.version < dl.from {
		return d, false
	}
	out := Document{version: dl.to, services: slices.Clone(dl.services)}
	if !dl.whole {
		for _, s := range d.services {
			_, changed := out.find(s.Name())
			if !changed && !slices.Contains(dl.deleted, s.Name()) {
				out.insert(s)
			}
		}
	}
	return out, true
}

// insert adds a service whose name is not there yet.
func (d *Document) insert(s Service) {
	i, _ := d.find(s.Name())
	d.services = slices.Insert(d.services, i, s)
}

// EncodeDelta returns the delta as daemons send it.
func EncodeDelta(dl Delta) ([]byte, error) {
	w := deltaWire{Format: format, From: dl.from, To: dl.to, Whole: dl.whole, Deleted: dl.deleted}
	for _, s := range dl.services {
		w.Services = append(w.Services, toServiceWire(s))
	}
	return marshal(w)
}

// DecodeDelta reads a delta. It fails with ErrTooLarge or ErrMalformed.
func DecodeDelta(b []byte) (Delta, error) {
	var w deltaWire
	if err := unmarshal(b, &w); err != nil {
		return Delta{}, err
	}
	if w.Format != format || w.To < 0 {
		return Delta{}, errors.Wrapf(ErrMalformed, "format %d, version %d", w.Format, w.To)
	}
	dl := Delta{from: w.From, to: w.To, whole: w.Whole, deleted: w.Deleted}
	for i, s := range w.Services {
		if i > 0 && s.Name <= w.Services[i-1].Name {
			return Delta{}, errors.Wrapf(ErrMalformed, "service %s is out of order", quote(string(s.Name)))
		}
		dl.services = append(dl.services, s.service())
	}
	return dl, nil
}
