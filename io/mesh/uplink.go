package mesh

import (
	"sync"
	"time"

	corelink "trefoilthread/core/link"
)

// Uplink is the network link of this VM, on which all connections of the process take turns
// with the parts of their long frames. It is safe for concurrent use. A nil Uplink has an
// unknown speed.
type Uplink struct {
	mbit float64

	mu    sync.Mutex
	pacer *corelink.Pacer
}

// NewUplink returns a link with a speed in Mbit/s, 0 if it is unknown.
func NewUplink(mbit float64) *Uplink {
	return &Uplink{mbit: mbit, pacer: corelink.NewPacer(mbit)}
}

// slower returns the speed of the slower one of this link and that of a peer in Mbit/s, 0 if
// both are unknown.
func (u *Uplink) slower(peer float64) float64 {
	if u == nil {
		return corelink.Slower(0, peer)
	}
	return corelink.Slower(u.mbit, peer)
}

// reserve counts a part of n bytes and returns how long it has to wait.
func (u *Uplink) reserve(now time.Time, n int) time.Duration {
	if u == nil {
		return 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.pacer.Reserve(now, n)
}
