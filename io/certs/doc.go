// Package certs provides the TLS identities of daemons: certificates read from
// files and read again when the files change, and throw-away authorities for
// the demonstration and for tests.
//
// Daemons authenticate each other with mutual TLS 1.3. A peer is accepted if
// its certificate is signed by the configured authority and carries the
// server name "trefoilthread"; its address is not checked, because VMs are
// replaced and addresses used again.
//
// # Usage
//
//	id, err := certs.Load("daemon.crt", "daemon.key", "ca.crt")
//	if err != nil {
//		return err
//	}
//	tlsConf := id.Config()
package certs
