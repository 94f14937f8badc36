package claims

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// segment is the record under SegmentKey.
type segment struct {
	writeID string
	claims  []Hash
}

type segmentWire struct {
	_       struct{} `cbor:",toarray"`
	Format  int
	WriteID string
	Claims  []byte
}

func decodeSegment(b []byte) (segment, error) {
	var w segmentWire
	if err := cbor.Unmarshal(b, &w); err != nil {
		return segment{}, errors.Mark(errors.Wrap(err, "segment"), ErrRecord)
	}
	claims, err := splitHashes(w.Format, w.Claims)
	return segment{writeID: w.WriteID, claims: claims}, err
}

func (s segment) encode() ([]byte, error) {
	return cbor.Marshal(segmentWire{Format: recordFormat, WriteID: s.writeID, Claims: joinHashes(s.claims)})
}
