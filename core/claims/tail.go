package claims

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"trefoilthread/core/types"
)

// recordFormat is the version of the encoding of tails and segments. It is
// incremented when older daemons could not read the new encoding.
const recordFormat = 1

// ErrRecord means that the stored value of a tail or segment cannot be decoded.
var ErrRecord = errors.New("malformed record of claims")

// Tail is the record under TailKey.
type Tail struct {
	epoch   uint64
	holder  types.TargetID
	writeID string
	first   uint64 // number of the oldest segment that may exist
	next    uint64 // number after the newest segment
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

// Holder returns the owner, or "" if the owner has released the partition.
func (t Tail) Holder() types.TargetID { return t.holder }

// Segments returns the numbers of the segments in use, from first to end-1.
func (t Tail) Segments() (first, end uint64) { return t.first, t.next }

// Claims returns the claimed keys that are not in a confirmed segment.
func (t Tail) Claims() []Hash { return t.claims }

// DecodeTail decodes the value of a tail. The error is ErrRecord.
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
