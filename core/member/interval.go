package member

import "time"

const (
	// HeartbeatCost is the size in bytes of a heartbeat and its reply on the
	// network, with headers and acknowledgements, rounded up.
	HeartbeatCost = 400
	// heartbeatTraffic is the share of heartbeats in a leader's traffic bound of
	// 5 KB/s, in bytes per second. The rest is for joins and changes of state.
	heartbeatTraffic = 4500
	// minHeartbeatInterval is the interval in small data centres, where the
	// traffic bound would allow a shorter one. It limits how soon a silent member
	// is detected.
	minHeartbeatInterval = time.Second
	// maxMissedHeartbeats is after how many missed heartbeats a member is removed.
	maxMissedHeartbeats = 3
)

// Interval returns the time between two heartbeats of one of n members.
func Interval(n int) time.Duration {
	return max(minHeartbeatInterval, time.Duration(n)*HeartbeatCost*time.Second/heartbeatTraffic)
}

// timeout returns how long a member with the given interval may be silent. Half
// an interval is added for the transit time of the last heartbeat.
func timeout(interval time.Duration) time.Duration {
	return maxMissedHeartbeats*interval + interval/2
}
