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

// KeyHash returns the hash of a caller's key for a service. The hash is
// cryptographic, so that a caller cannot choose a key that collides with another
// caller's.
func KeyHash(service types.ServiceName, key string) Hash {
	b := make([]byte, 0, 8+len(service)+len(key))
	b = binary.BigEndian.AppendUint64(b, uint64(len(service)))
	b = append(b, service...)
	b = append(b, key...)
	sum := sha256.Sum256(b)
	return Hash(sum[:16])
}

// PartitionOf returns the partition of h, from 0 to n-1.
func PartitionOf(h Hash, n int) int {
	return int(binary.BigEndian.Uint64(h[:8]) % uint64(n))
}

// Owner returns the member that should own a partition, by rendezvous hashing:
// a change of membership moves only partitions of members that joined or left.
// It reports false if there are no members.
func Owner(partition int, members []types.TargetID) (types.TargetID, bool) {
	var best types.TargetID
	var bestScore uint64
	for _, m := range members {
		score := xxhash.Sum64String(strconv.Itoa(partition) + "\x00" + string(m))
		if best == "" || score > bestScore || score == bestScore && m < best {
			best, bestScore = m, score
		}
	}
	return best, best != ""
}
