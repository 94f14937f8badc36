package member

import "time"

const (
	// HeartbeatCost is the size in bytes of a heartbeat and its reply on the
	// network, with headers and acknowledgements: 397 measured.
	HeartbeatCost = 400
	// heartbeatTraffic is the bytes per second that heartbeats may take of a
	// leader's 5 KB/s; the rest is for joins and changes of state.
	heartbeatTraffic = 4500
	// minInterval bounds how soon a silent member of a small data centre is
	// noticed.
	minInterval = time.Second
	// maxMissed heartbeats make a member gone.
	maxMissed = 3
)

// Interval returns the time between two heartbeats of one of n members.
func Interval(n int) time.Duration {
	return max(minInterval, time.Duration(n)*HeartbeatCost*time.Second/heartbeatTraffic)
}

// timeout returns how long a member with the given interval may be silent.
// Half an interval is added for the way of the last heartbeat.
func timeout(interval time.Duration) time.Duration {
	return maxMissed*interval + interval/2
}
