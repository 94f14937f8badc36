package stage

import "trefoilthread/core/types"

// Member names one start of a daemon.
type Member struct {
	id          types.TargetID
	incarnation uint64
}

// NewMember returns the member with the given daemon and incarnation.
func NewMember(id types.TargetID, incarnation uint64) Member {
	return Member{id: id, incarnation: incarnation}
}

// ID returns the name of the daemon.
func (m Member) ID() types.TargetID { return m.id }

// Incarnation returns the number of the daemon's start.
func (m Member) Incarnation() uint64 { return m.incarnation }
