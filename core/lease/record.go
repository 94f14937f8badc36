package lease

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"trefoilthread/core/types"
)

// Record is the value of the leader key.
type Record struct {
	holder     types.TargetID
	address    string
	knownEpoch uint64
	writeID    string
}

// recordWire is the encoded form of Record, a CBOR array.
type recordWire struct {
	_       struct{} `cbor:",toarray"`
	Holder  string
	Address string
	After   uint64
	WriteID string
}

// DecodeRecord decodes the value of a leader key.
func DecodeRecord(b []byte) (Record, error) {
	var w recordWire
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Record{}, errors.Wrap(err, "leader record")
	}
	return Record{holder: types.TargetID(w.Holder), address: w.Address, knownEpoch: w.After, writeID: w.WriteID}, nil
}

// Encode returns the record in CBOR.
func (r Record) Encode() ([]byte, error) {
	return cbor.Marshal(recordWire{Holder: string(r.holder), Address: r.address, After: r.knownEpoch, WriteID: r.writeID})
}

// Holder returns the daemon that wrote the record.
func (r Record) Holder() types.TargetID { return r.holder }

// Address returns the daemon's address, IP:port for UDP.
func (r Record) Address() string { return r.address }

// KnownEpoch returns the highest epoch that the writer knew before it created the
// key; its own epoch is above it.
func (r Record) KnownEpoch() uint64 { return r.knownEpoch }

// WriteID returns the id of the write, which is unique for each attempt.
func (r Record) WriteID() string { return r.writeID }
