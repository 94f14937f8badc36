package agent

import (
	"math"
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the boot of the machine. Unlike the monotonic clock of
// package time, it runs on while the machine is suspended, and unlike the time of day, it
// is never set. It is meant for Options.Elapsed.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return math.MaxInt64 // all knowledge is too old; Linux has had this clock since 2.6.39
	}
	return time.Duration(ts.Nano())
}
