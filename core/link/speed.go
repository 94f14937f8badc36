package link

import "time"

const (
	// LongTime is the time on the link above which a body is offered before it is sent, and
	// a message is sent in parts. An offer costs a round trip, up to 8 ms between data
	// centres.
	LongTime = 5 * time.Millisecond
	// PartSize is the number of bytes of a body that are written at a time. A part takes
	// 6 ms on a link of 11 Mbit/s.
	PartSize = 8 << 10
	// bytesPerMbit converts the unit of links.
	bytesPerMbit = 1e6 / 8
)

// Slower returns the speed of the slower of two links in Mbit/s. 0 stands for an unknown
// speed and is ignored.
func Slower(a, b float64) float64 {
	if a <= 0 || b > 0 && b < a {
		return max(b, 0)
	}
	return a
}

// IsLong reports whether n bytes take longer than LongTime on a link.
func IsLong(n int, mbit float64) bool { return TransferTime(n, mbit) > LongTime }

// TransferTime returns the time that n bytes take on a link, 0 if its speed in Mbit/s is unknown.
func TransferTime(n int, mbit float64) time.Duration {
	if mbit <= 0 {
		return 0
	}
	return time.Duration(float64(n) / (mbit * bytesPerMbit) * float64(time.Second))
}
