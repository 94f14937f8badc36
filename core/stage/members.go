package stage

import (
	"slices"

	"trefoilthread/core/types"
)

// Members records the versions that the live members of one data centre have
// acknowledged, and derives the version in force from them. It is not safe for
// concurrent use.
type Members struct {
	inForce int64
	members map[types.TargetID]*memberState
}

type memberState struct {
	incarnation  uint64
	acknowledged int64 // highest acknowledged version, 0 before the first one
	// counted is set if the member is included in the minimum that gives the
	// version in force.
	counted bool
}

// NewMembers returns the Members of a new leader. The version in force and the
// live members are those that its predecessor wrote to the store. These members
// are counted at once, with no version acknowledged.
func NewMembers(inForce int64, live []Member) *Members {
	m := &Members{inForce: inForce, members: make(map[types.TargetID]*memberState, len(live))}
	for _, l := range live {
		m.members[l.id] = &memberState{incarnation: l.incarnation, counted: true}
	}
	return m
}

// InForce returns the highest version that all counted members were known to
// have in force at one time. It never decreases: while the acknowledgements are
// incomplete, as after a change of leader, it keeps its last value.
func (m *Members) InForce() int64 { return m.inForce }

// NumCounted returns the number of counted members.
func (m *Members) NumCounted() int {
	n := 0
	for _, s := range m.members {
		if s.counted {
			n++
		}
	}
	return n
}

// Join adds a member that is not counted yet. A higher incarnation replaces the
// known one; the same or a lower one changes nothing. Join reports whether the
// version in force rose, which happens when the replaced incarnation was the
// only one to hold it back.
func (m *Members) Join(id types.TargetID, incarnation uint64) bool {
	if s, ok := m.members[id]; ok && s.incarnation >= incarnation {
		return false
	}
	m.members[id] = &memberState{incarnation: incarnation}
	return m.advance()
}

// Leave removes a member, unless a higher incarnation than the given one has
// joined. It reports whether the version in force rose.
func (m *Members) Leave(id types.TargetID, incarnation uint64) bool {
	if s, ok := m.members[id]; !ok || s.incarnation > incarnation {
		return false
	}
	delete(m.members, id)
	return m.advance()
}

// Acknowledge records that a member has a version in force, and reports whether
// the version in force of the data centre rose. It ignores unknown members,
// other incarnations, and versions that are not above the last acknowledged
// one. A joining member is counted from its first acknowledgement of the data
// centre's version in force or a later one.
func (m *Members) Acknowledge(id types.TargetID, incarnation uint64, version int64) bool {
	s, ok := m.members[id]
	if !ok || s.incarnation != incarnation || version <= s.acknowledged {
		return false
	}
	s.acknowledged = version
	if !s.counted && version >= m.inForce {
		s.counted = true
	}
	return m.advance()
}

// Behind returns the sorted IDs of the members, counted or not, that have
// acknowledged neither the given version nor a later one.
func (m *Members) Behind(version int64) []types.TargetID {
	return m.selectIDs(func(s *memberState) bool { return s.acknowledged < version })
}

// Joining returns the sorted IDs of the members that are not counted yet. They
// must not serve calls.
func (m *Members) Joining() []types.TargetID {
	return m.selectIDs(func(s *memberState) bool { return !s.counted })
}

func (m *Members) selectIDs(match func(*memberState) bool) []types.TargetID {
	var out []types.TargetID
	for id, s := range m.members {
		if match(s) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// advance raises the version in force to the lowest version that a counted
// member has acknowledged, and reports whether it rose. Without counted members
// nothing is known and the version stays.
func (m *Members) advance() bool {
	lowest, found := int64(0), false
	for _, s := range m.members {
		if s.counted && (!found || s.acknowledged < lowest) {
			lowest, found = s.acknowledged, true
		}
	}
	if !found || lowest <= m.inForce {
		return false
	}
	m.inForce = lowest
	return true
}
