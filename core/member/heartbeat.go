package member

import (
	"time"

	"trefoilthread/core/types"
)

// Heartbeat tells the leader that a daemon is running, and the state of its
// target.
type Heartbeat struct {
	id          types.TargetID
	incarnation uint64
	sequence    uint64
	state       types.TargetState
}

// NewHeartbeat returns the heartbeat of a target in its present state.
func NewHeartbeat(t types.Target) Heartbeat {
	return Heartbeat{id: t.ID(), incarnation: t.Incarnation(), sequence: t.Sequence(), state: t.State()}
}

// HeartbeatStatus tells a daemon what to do after its heartbeat.
type HeartbeatStatus uint8

const (
	// Accepted daemons send the next heartbeat after the interval.
	Accepted HeartbeatStatus = iota
	// Rejoin tells a daemon whose incarnation the leader does not know to join
	// again.
	Rejoin
	// Replaced tells a daemon that a newer incarnation has replaced it.
	Replaced
)

// HeartbeatReply answers a Heartbeat.
type HeartbeatReply struct {
	status   HeartbeatStatus
	interval time.Duration
	epoch    uint64
}

// Status returns what the daemon has to do.
func (r HeartbeatReply) Status() HeartbeatStatus { return r.status }

// Interval returns the time until the next heartbeat.
func (r HeartbeatReply) Interval() time.Duration { return r.interval }

// Epoch returns the epoch of the leader.
func (r HeartbeatReply) Epoch() uint64 { return r.epoch }
