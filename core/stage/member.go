package stage

import "trefoilthread/core/types"

// Member identifies one incarnation of a daemon.
type Member struct {
	id          types.TargetID
	incarnation uint64
}

// NewMember returns the member with the given daemon ID and incarnation.
func NewMember(id types.TargetID, incarnation uint64) Member {
	return Member{id: id, incarnation: incarnation}
}

// ID returns the ID of the daemon.
func (m Member) ID() types.TargetID { return m.id }

// Incarnation returns the number that tells the starts of one daemon apart. It
// is higher after each restart.
func (m Member) Incarnation() uint64 { return m.incarnation }
