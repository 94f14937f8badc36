package target

import (
	"net"

	"trefoilthread/core/types"
)

// Ending tells how a request that was handed to the target ended.
type Ending uint8

const (
	// Whole requests got a complete answer.
	Whole Ending = iota
	// Broken requests lost their connection.
	Broken
	// GivenUp requests were canceled or passed their deadline.
	GivenUp
)

// CheckDead connects to the target anew. A refused connection means that the
// process is gone: all its calls are lost at once. It returns when the death
// has been reported, so that no caller learns of the failure, and sends the
// request again, before the other daemons know it as a suspect.
func (l *Local) CheckDead() {
	conn, err := net.DialTimeout("tcp", l.Announcement().Address, dialTimeout)
	if err == nil {
		_ = conn.Close()
		return
	}
	l.mu.Lock()
	first := l.up
	if first {
		l.up, l.dead = false, make(chan struct{})
		l.waiting.deliver(l.gate.Drain(l.now()))
	}
	dead := l.dead
	l.mu.Unlock()
	if !first {
		if dead != nil {
			<-dead
		}
		return
	}
	l.opts.Log.WithError(err).Warn("target died")
	l.opts.Died()
	close(dead)
	l.changed(types.Down)
}
