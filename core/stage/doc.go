// Package stage decides which data centres have a version of the configuration
// in force.
//
// Members is the side of a data centre's leader. It collects the versions that
// the live members acknowledge. The data centre has the lowest of them in
// force. A member that joins counts only when it has acknowledged the version
// in force, so that a cold start neither holds back a change nor makes the
// version in force untrue; Joining lists those that have not, and they must
// not serve calls yet. A member that is gone stops counting.
//
// A new leader knows the members of its predecessor's summary but not what
// they have acknowledged. They count from the start with version 0, so the
// first acknowledgements of a few cannot raise the version past the others.
//
// Status is the side of the operators. It collects what the leaders report and
// tells whether a version is accepted: in force in each data centre with live
// members. Reports may arrive late or out of order. A version in force never
// goes back on either side.
//
// # Usage
//
//	m := stage.NewMembers(inForceFromStore, membersFromStore)
//	m.Join("vm-7", 3)
//	if m.Acknowledge("vm-7", 3, 42) {
//		// write m.InForce() to dc/<name>/inForce
//	}
//
//	s := stage.NewStatus()
//	s.SetMembers("kl-sentral", revision, 9, "vm-7")
//	s.SetInForce("kl-sentral", 42)
//	if !s.Accepted(42) {
//		fmt.Println("not in force in", s.Missing(42))
//	}
package stage
