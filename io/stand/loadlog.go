package stand

import (
	"sort"
	"time"
)

// loadLog remembers recent loads so that a load endpoint can lag.
type loadLog struct {
	at    []time.Time
	loads []Load
}

// maxLoadLog bounds the memory of a target: about a second at 2,000 calls/s.
const maxLoadLog = 4096

func (l *loadLog) add(now time.Time, v Load) {
	if len(l.at) == maxLoadLog {
		half := maxLoadLog / 2
		l.at = append(l.at[:0], l.at[half:]...)
		l.loads = append(l.loads[:0], l.loads[half:]...)
	}
	l.at, l.loads = append(l.at, now), append(l.loads, v)
}

// value returns the load at a time, the oldest known one before that.
func (l *loadLog) value(at time.Time) Load {
	if len(l.at) == 0 {
		return Load{}
	}
	i := sort.Search(len(l.at), func(i int) bool { return l.at[i].After(at) })
	return l.loads[max(0, i-1)]
}
