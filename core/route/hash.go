package route

import (
	"github.com/cespare/xxhash/v2"

	"trefoilthread/core/types"
)

func hashID(id types.TargetID) uint64 { return xxhash.Sum64String(string(id)) }

// rendezvous returns the weight of a pair of keys in rendezvous hashing.
func rendezvous(a, b uint64) uint64 { return mix(a + mix(b)) }

// mix is the finalizer of SplitMix64, which spreads a change of any bit over
// all bits.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
