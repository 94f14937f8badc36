package mesh

import (
	"net"
	"time"
)

const (
	// keepAliveIdle and keepAliveCount end a connection whose peer lost power
	// while no call is open.
	keepAliveIdle  = 5 * time.Second
	keepAliveCount = 3
)

// setKeepAlive lets the kernel end a connection whose peer has vanished.
func setKeepAlive(nc net.Conn) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	// An error leaves the system's defaults, which only find it later.
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount,
	})
}
