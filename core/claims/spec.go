package claims

import (
	"strconv"
	"time"

	"trefoilthread/core/types"
)

const (
	defaultRetention   = 24 * time.Hour
	defaultSegmentSize = 512
	// defaultMaxKeys bounds memory and the number of segments read at a takeover:
	// 200,000 keys are 391 segments.
	defaultMaxKeys          = 200_000
	defaultMaxResponseBytes = 4 << 20
	// defaultClaimTimeout leaves time for a lost answer and the read-back after it.
	defaultClaimTimeout = 2 * time.Second
	// minWriteInterval limits tail writes to 40/s, or 320/s for 8 partitions under
	// full load, which fits into the store's several hundred writes/s. Half as
	// many partitions with half the interval would make as many writes and halve
	// the time that a claim waits.
	minWriteInterval = 25 * time.Millisecond
	// callTimeout is the time after which a store call without an answer has
	// status Unknown.
	callTimeout = time.Second
	// minRetryDelay and maxRetryDelay bound the exponential backoff after failed
	// calls, before jitter.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// takeoverHoldOff is the shortest time between losing a partition and trying
	// to take it over again; a random part of up to twice as much is added. It
	// keeps two daemons with different member lists from taking the partition from
	// each other continuously.
	takeoverHoldOff = time.Second
	// maxSegmentReads is the number of segments read concurrently at a takeover.
	maxSegmentReads = 8
	// maxTailSegments bounds the tail, in segments' worth of claims, while segments
	// cannot be written.
	maxTailSegments = 4
)

// Spec holds the parameters of a Partition. Zero values of Retention and the
// fields after it mean the defaults, which are given with each field.
type Spec struct {
	Partition int
	Holder    types.TargetID
	// Seed must differ for each start of a process, because write ids are derived
	// from it.
	Seed             [2]uint64
	Retention        time.Duration // 24 h; whole seconds
	SegmentSize      int           // claims in a segment; 512
	MaxKeys          int           // claimed keys held in memory; 200,000
	MaxResponseBytes int           // total bytes of retained responses; 4 MiB
	ClaimTimeout     time.Duration // longest wait of a Fresh claim for its write; 2 s
}

func (s Spec) withDefaults() Spec {
	s.Retention = orDefault(s.Retention, defaultRetention)
	s.SegmentSize = orDefault(s.SegmentSize, defaultSegmentSize)
	s.MaxKeys = orDefault(s.MaxKeys, defaultMaxKeys)
	s.MaxResponseBytes = orDefault(s.MaxResponseBytes, defaultMaxResponseBytes)
	s.ClaimTimeout = orDefault(s.ClaimTimeout, defaultClaimTimeout)
	// A key must not expire while its claim waits to be durable.
	s.Retention = max(s.Retention, 2*s.ClaimTimeout)
	return s
}

func orDefault[T int | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}

// TailKey returns the store key of a partition's tail.
func TailKey(partition int) string { return "once/" + strconv.Itoa(partition) }

// SegmentKey returns the store key of segment n of a partition.
func SegmentKey(partition int, n uint64) string {
	return TailKey(partition) + "/seg/" + strconv.FormatUint(n, 10)
}
