// Package stage tracks the rollout of configuration versions: which version
// each data centre has in force, and whether a version is in force in all of
// them.
//
// The leader of a data centre keeps a Members, which records the versions that
// the live members acknowledge. The version in force of the data centre is the
// lowest version acknowledged by a counted member. A member that joins is
// counted only once it has acknowledged the version in force or a later one.
// Otherwise a daemon that starts without a configuration would either delay
// the rollout of a change or leave the data centre with a version in force that
// not all of its members have. Joining lists the members that are not counted
// yet; they must not serve calls. A member that leaves is no longer counted.
//
// A new leader reads the members from its predecessor's summary, but does not
// know what they have acknowledged. It counts all of them at once with version
// 0, so that the acknowledgements of the first few members cannot raise the
// version in force above what the others have.
//
// Status combines the reports of all leaders for the operators. A version is
// accepted when it, or a later one, is in force in every data centre with live
// members. Reports may arrive late or out of order. Neither Members nor Status
// ever lowers a version in force.
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
