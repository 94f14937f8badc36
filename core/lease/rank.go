package lease

import (
	"github.com/cespare/xxhash/v2"

	"trefoilthread/core/types"
)

// Rank returns how many of members come before self as leader of dc, by
// rendezvous hashing, so that candidates with the same members agree without
// a message. A self that is not among members is ranked as if it were.
func Rank(dc types.DataCentre, members []types.TargetID, self types.TargetID) int {
	own, rank := weight(dc, self), 0
	for _, m := range members {
		if w := weight(dc, m); w > own || w == own && m < self {
			rank++
		}
	}
	return rank
}

func weight(dc types.DataCentre, id types.TargetID) uint64 {
	return xxhash.Sum64String(string(dc) + "\x00" + string(id))
}
