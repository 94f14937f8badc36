package member

import (
	"time"

	"trefoilthread/core/types"
)

// Join is a daemon's announcement of itself and its target to the leader.
type Join struct {
	target  types.Target
	process uint64
}

// NewJoin returns the announcement of a target. The process number is random and
// stays the same while the daemon runs.
func NewJoin(t types.Target, process uint64) Join { return Join{target: t, process: process} }

// Target returns the announced target.
func (j Join) Target() types.Target { return j.target }

// Process returns the number of the daemon's process.
func (j Join) Process() uint64 { return j.process }

// JoinReply answers a Join.
type JoinReply struct {
	refused  string
	known    uint64
	interval time.Duration
	epoch    uint64
}

// Refused returns why the join was refused, or "".
func (r JoinReply) Refused() string { return r.refused }

// Known returns the highest incarnation known; a refused daemon joins again
// above it.
func (r JoinReply) Known() uint64 { return r.known }

// Interval returns the time until the first heartbeat.
func (r JoinReply) Interval() time.Duration { return r.interval }

// Epoch returns the epoch of the leader.
func (r JoinReply) Epoch() uint64 { return r.epoch }
