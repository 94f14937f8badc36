package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"trefoilthread/core/types"
)

// Hash identifies an idempotency key of a service.
type Hash [16]byte

// KeyHash returns the hash of a caller's key. A cryptographic hash keeps a
// caller from choosing a key that collides with another caller's.
func KeyHash(service types.ServiceName, key string) Hash {
	b := make([]byte, 0, 8+len(service)+len(key))
	b = binary.BigEndian.AppendUint64(b, uint64(len(service)))
	b = append(b, service...)
	b = append(b, key...)
	sum := sha256.Sum256(b)
	return Hash(sum[:16])
}

// PartitionOf returns the partition of h, of n.
func PartitionOf(h Hash, n int) int {
	return int(binary.BigEndian.Uint64(h[:8]) % uint64(n))
}

// Owner returns which of members owns a partition, by rendezvous hashing, so
// that a change of members moves only the partitions of those that changed. It
// reports false if there are no members.
func Owner(partition int, members []types.TargetID) (types.TargetID, bool) {
	var best types.TargetID
	var top uint64
	for _, m := range members {
		w := xxhash.Sum64String(strconv.Itoa(partition) + "\x00" + string(m))
		if best == "" || w > top || w == top && m < best {
			best, top = m, w
		}
	}
	return best, best != ""
}
