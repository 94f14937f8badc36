// Package certs provides the TLS identities of daemons: certificates read from
// files and read again when the files change, and the authority that signs
// them, kept in files or thrown away after a demonstration or test.
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
//
//	ca, err := certs.LoadAuthority("ca.crt", "ca.key")
//	if err != nil {
//		return err
//	}
//	cert, key, err := ca.Issue("kl-sentral/bookings-1", now, now.Add(30*24*time.Hour))
//	if err != nil {
//		return err
//	}
//	err = certs.WriteFiles("daemon.crt", cert, "daemon.key", key)
package certs
