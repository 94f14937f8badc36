package stand

import "net"

// listener applies the endpoint's connection limit and faults.
type listener struct {
	net.Listener
	e *endpoint
}

// Accept returns the next connection within the limit and closes those beyond.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.e.admit(nc); ok {
			return c, nil
		}
		_ = nc.Close()
	}
}
