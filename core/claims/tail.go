package claims

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"trefoilthread/core/types"
)

// recordFormat is raised when older daemons could not read a tail or segment.
const recordFormat = 1

// ErrRecord means that a tail or segment cannot be read.
var ErrRecord = errors.New("malformed record of claims")

// Tail is the value of TailKey.
type Tail struct {
	epoch   uint64
	holder  types.TargetID
	writeID string
	first   uint64 // the first segment that may exist
	next    uint64 // the segment after the last one
	claims  []Hash
}

type tailWire struct {
	_       struct{} `cbor:",toarray"`
	Format  int
	Epoch   uint64
	Holder  string
	WriteID string
	First   uint64
	Next    uint64
	Claims  []byte
}

// Epoch returns the epoch of the owner.
func (t Tail) Epoch() uint64 { return t.epoch }

// Holder returns the owner, "" if it has released the partition.
func (t Tail) Holder() types.TargetID { return t.holder }

// Segments returns the range of segments in use, the end not included.
func (t Tail) Segments() (first, end uint64) { return t.first, t.next }

// Claims returns the claimed keys that are in no segment yet.
func (t Tail) Claims() []Hash { return t.claims }

// DecodeTail reads a tail. It fails with ErrRecord.
func DecodeTail(b []byte) (Tail, error) {
	var w tailWire
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Tail{}, errors.Mark(errors.Wrap(err, "tail"), ErrRecord)
	}
	claims, err := splitHashes(w.Format, w.Claims)
	if err != nil {
		return Tail{}, err
	}
	if w.First > w.Next {
		return Tail{}, errors.Wrapf(ErrRecord, "segments %d to %d", w.First, w.Next)
	}
	return Tail{
		epoch: w.Epoch, holder: types.TargetID(w.Holder), writeID: w.WriteID,
		first: w.First, next: w.Next, claims: claims,
	}, nil
}

func (t Tail) encode() ([]byte, error) {
	return cbor.Marshal(tailWire{
		Format: recordFormat, Epoch: t.epoch, Holder: string(t.holder), WriteID: t.writeID,
		First: t.first, Next: t.next, Claims: joinHashes(t.claims),
	})
}

func splitHashes(format int, b []byte) ([]Hash, error) {
	if format != recordFormat || len(b)%len(Hash{}) != 0 {
		return nil, errors.Wrapf(ErrRecord, "format %d, %d bytes of claims", format, len(b))
	}
	out := make([]Hash, len(b)/len(Hash{}))
	for i := range out {
		out[i] = Hash(b[i*len(Hash{}):])
	}
	return out, nil
}

func joinHashes(hs []Hash) []byte {
	out := make([]byte, 0, len(hs)*len(Hash{}))
	for i := range hs {
		out = append(out, hs[i][:]...)
	}
	return out
}
