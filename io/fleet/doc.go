// Package fleet runs one deployment in one process on loopback: a stand-in
// store, stand-in targets, and a real daemon beside each target.
//
// The demonstration, the load tool and the tests of whole sessions use it. The
// daemons talk over real sockets and know nothing of sharing a process. There
// is no added network delay: the figures are those of one machine.
//
// # Usage
//
//	f, err := fleet.Start(ctx, fleet.Options{Deployment: dep})
//	if err != nil {
//		return err
//	}
//	defer f.Close()
//	if err := f.WaitReady(ctx); err != nil {
//		return err
//	}
//	url := "http://" + f.Nodes()[0].Daemon().CallerAddr() + "/s/bookings/menu"
package fleet
