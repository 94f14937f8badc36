package lease

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"trefoilthread/core/types"
)

// Record is the value of the leader key.
type Record struct {
	holder  types.TargetID
	address string
	after   uint64
	writeID string
}

// recordWire is Record as the codec needs it.
type recordWire struct {
	_       struct{} `cbor:",toarray"`
	Holder  string
	Address string
	After   uint64
	WriteID string
}

// DecodeRecord reads the value of a leader key.
func DecodeRecord(b []byte) (Record, error) {
	var w recordWire
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Record{}, errors.Wrap(err, "leader record")
	}
	return Record{holder: types.TargetID(w.Holder), address: w.Address, after: w.After, writeID: w.WriteID}, nil
}

// Encode returns the record in CBOR.
func (r Record) Encode() ([]byte, error) {
	return cbor.Marshal(recordWire{Holder: string(r.holder), Address: r.address, After: r.after, WriteID: r.writeID})
}

// Holder returns the daemon that wrote the record.
func (r Record) Holder() types.TargetID { return r.holder }

// Address returns the daemon's IP and UDP port.
func (r Record) Address() string { return r.address }

// After returns the highest epoch the writer knew; its own epoch is above it.
func (r Record) After() uint64 { return r.after }

// WriteID returns the identity of the write, unique for each attempt.
func (r Record) WriteID() string { return r.writeID }
