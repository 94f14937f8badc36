package config

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Errors of Encode and Decode.
var (
	// ErrTooLarge means that a document exceeds MaxBytes.
	ErrTooLarge = errors.New("configuration document too large")
	// ErrMalformed means that the bytes are no document of a known format.
	ErrMalformed = errors.New("malformed configuration document")
)

// format is the version of the stored form. Decode refuses any other, because
// writing back a document of a later form would drop what this release does
// not know.
const format = 1

var encMode, decMode = modes()

func modes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // constant options
	}
	dec, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: MaxServices, MaxMapPairs: 32, MaxNestedLevels: 8,
	}.DecMode()
	if err != nil {
		panic(err) // constant options
	}
	return enc, dec
}

// Encode returns the document in its stored form. It fails with ErrTooLarge
// beyond MaxBytes.
func Encode(d Document) ([]byte, error) {
	w := documentWire{
		Format: format, Version: d.version, Audit: toEntryWires(d.audit),
		Services: make([]serviceWire, len(d.services)), Requests: make([]requestWire, len(d.requests)),
	}
	for i, s := range d.services {
		w.Services[i] = toServiceWire(s)
	}
	for i, r := range d.requests {
		w.Requests[i] = requestWire{ID: r.id, Digest: r.digest, Version: r.version}
	}
	return marshal(w)
}

// Decode reads a stored document. It fails with ErrTooLarge or ErrMalformed.
func Decode(b []byte) (Document, error) {
	var w documentWire
	if err := unmarshal(b, &w); err != nil {
		return Document{}, err
	}
	if w.Format != format || w.Version < 0 {
		return Document{}, errors.Wrapf(ErrMalformed, "format %d, version %d", w.Format, w.Version)
	}
	d := Document{
		version: w.Version, audit: fromEntryWires(w.Audit),
		services: make([]Service, len(w.Services)), requests: make([]Request, len(w.Requests)),
	}
	for i, s := range w.Services {
		if i > 0 && s.Name <= w.Services[i-1].Name {
			return Document{}, errors.Wrapf(ErrMalformed, "service %s is out of order", quote(string(s.Name)))
		}
		if s.Version > w.Version {
			return Document{}, errors.Wrapf(ErrMalformed, "service %s is newer than the document", quote(string(s.Name)))
		}
		d.services[i] = s.service()
	}
	for i, r := range w.Requests {
		d.requests[i] = Request{id: r.ID, digest: r.Digest, version: r.Version}
	}
	return d, nil
}

// EncodeRefusals returns the refusals in their stored form.
func EncodeRefusals(r Refusals) ([]byte, error) {
	return marshal(refusalsWire{Format: format, Entries: toEntryWires(r.entries)})
}

// DecodeRefusals reads stored refusals.
func DecodeRefusals(b []byte) (Refusals, error) {
	var w refusalsWire
	if err := unmarshal(b, &w); err != nil {
		return Refusals{}, err
	}
	if w.Format != format {
		return Refusals{}, errors.Wrapf(ErrMalformed, "format %d", w.Format)
	}
	return Refusals{entries: fromEntryWires(w.Entries)}, nil
}

func marshal(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	if len(b) > MaxBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes, allowed %d", len(b), MaxBytes)
	}
	return b, nil
}

func unmarshal(b []byte, v any) error {
	if len(b) > MaxBytes {
		return errors.Wrapf(ErrTooLarge, "%d bytes, allowed %d", len(b), MaxBytes)
	}
	if err := decMode.Unmarshal(b, v); err != nil {
		return errors.Wrapf(ErrMalformed, "%v", err)
	}
	return nil
}
