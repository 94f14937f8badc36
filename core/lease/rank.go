package lease

import (
	"github.com/cespare/xxhash/v2"

	"trefoilthread/core/types"
)

// Rank returns how many of members come before self as candidates for the
// leadership of dc. The order is that of rendezvous hashing, so candidates with
// the same list of members agree without a message. A self that is not in
// members is ranked as if it were.
func Rank(dc types.DataCentre, members []types.TargetID, self types.TargetID) int {
	own, rank := weight(dc, self), 0
	for _, m := range members {
		if w := weight(dc, m); w > own || w == own && m < self {
			rank++
		}
	}
	return rank
}

// weight returns the rendezvous hash of a member; a higher one comes first.
func weight(dc types.DataCentre, id types.TargetID) uint64 {
	return xxhash.Sum64String(string(dc) + "\x00" + string(id))
}
