package claims

import (
	"strconv"
	"time"

	"trefoilthread/core/types"
)

const (
	defaultRetention = 24 * time.Hour
	defaultSealAt    = 512
	// defaultMaxKeys bounds memory and the segments read at a takeover: 200,000
	// keys are 391 segments.
	defaultMaxKeys     = 200_000
	defaultMaxResponse = 4 << 20
	// defaultClaimTime covers a lost answer with its read-back.
	defaultClaimTime = 2 * time.Second
	// writeGap caps tail writes at 40/s, 320/s for 8 partitions under full load,
	// which the store's several hundred writes/s allow. Half as many partitions
	// with half the gap make the same writes and halve the wait of a claim.
	writeGap = 25 * time.Millisecond
	// callTime is how long an answer of the store is awaited.
	callTime = time.Second
	// firstRetry and lastRetry bound the wait after failed calls.
	firstRetry = 50 * time.Millisecond
	lastRetry  = time.Second
	// holdOff keeps two daemons with different member lists from taking the
	// partition from each other without pause. Up to twice as much is added.
	holdOff = time.Second
	// maxLoads is the number of segments read at a time.
	maxLoads = 8
	// maxTail, in seals, bounds the tail while segments cannot be written.
	maxTail = 4
)

// Spec lists the properties of a Partition; zero values mean the defaults.
type Spec struct {
	Partition int
	Holder    types.TargetID
	// Seed must differ for each start of a process: write ids come from it.
	Seed         [2]uint64
	Retention    time.Duration // 24 h; of whole seconds
	SealAt       int           // claims in a segment, 512
	MaxKeys      int           // 200,000
	MaxResponses int           // bytes of retained responses, 4 MiB
	ClaimTime    time.Duration // longest wait of a Fresh claim, 2 s
}

func (s Spec) withDefaults() Spec {
	s.Retention = positive(s.Retention, defaultRetention)
	s.SealAt = positive(s.SealAt, defaultSealAt)
	s.MaxKeys = positive(s.MaxKeys, defaultMaxKeys)
	s.MaxResponses = positive(s.MaxResponses, defaultMaxResponse)
	s.ClaimTime = positive(s.ClaimTime, defaultClaimTime)
	// A key must not expire while its claim waits.
	s.Retention = max(s.Retention, 2*s.ClaimTime)
	return s
}

func positive[T int | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}

// TailKey returns the key of a partition's tail.
func TailKey(partition int) string { return "once/" + strconv.Itoa(partition) }

// SegmentKey returns the key of a partition's segment n.
func SegmentKey(partition int, n uint64) string {
	return TailKey(partition) + "/seg/" + strconv.FormatUint(n, 10)
}
