package poison

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"trefoilthread/core/types"
)

// TrialTarget returns the one of targets at which trials of a request run, by
// rendezvous hashing: all daemons that know the same targets choose the same
// one, and the loss of another target does not change the choice. It reports
// false if there are no targets.
func TrialTarget(fp types.Fingerprint, targets []types.TargetID) (types.TargetID, bool) {
	var (
		chosen types.TargetID
		top    uint64
		head   [8]byte
	)
	binary.BigEndian.PutUint64(head[:], uint64(fp))
	for _, id := range targets {
		var d xxhash.Digest
		d.Reset()
		// Writes to a Digest return no errors.
		_, _ = d.Write(head[:])
		_, _ = d.WriteString(string(id))
		// The name decides between equal hashes.
		if h := d.Sum64(); chosen == "" || h > top || h == top && id < chosen {
			chosen, top = id, h
		}
	}
	return chosen, chosen != ""
}
