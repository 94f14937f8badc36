// Package setup reads a daemon's settings from an INI file.
//
// Each key is described once, in the table that also generates the reference
// and the defaults file. All errors of a file are reported together, each with
// file, line, section, key, the bad value and what is allowed.
//
// # Usage
//
//	s, err := setup.Load("daemon.ini")
//	if err != nil {
//		return err // one line per error
//	}
//	node, err := peer.Listen(peer.Options{Address: s.PeerAddress()})
package setup
