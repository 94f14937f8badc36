package stage

import (
	"slices"

	"trefoilthread/core/types"
)

// Members collects the acknowledgements of the live members of one data
// centre. It is not safe for concurrent use.
type Members struct {
	inForce int64
	members map[types.TargetID]*memberState
}

type memberState struct {
	incarnation uint64
	version     int64
	counted     bool
}

// NewMembers returns the state of a leader that takes over with the given
// version in force and live members, both as its predecessor wrote them.
func NewMembers(inForce int64, live []Member) *Members {
	m := &Members{inForce: inForce, members: make(map[types.TargetID]*memberState, len(live))}
	for _, l := range live {
		m.members[l.id] = &memberState{incarnation: l.incarnation, counted: true}
	}
	return m
}

// InForce returns the version that each counted member has acknowledged, or a
// later one that was in force before. It never goes back.
func (m *Members) InForce() int64 { return m.inForce }

// Len returns the number of counted members.
func (m *Members) Len() int {
	n := 0
	for _, s := range m.members {
		if s.counted {
			n++
		}
	}
	return n
}

// Join adds a member that does not count yet. A later incarnation replaces the
// earlier one, an earlier or known one changes nothing. It reports whether the
// version in force rose, which happens when the replaced one held it back.
func (m *Members) Join(id types.TargetID, incarnation uint64) bool {
	if s, ok := m.members[id]; ok && s.incarnation >= incarnation {
		return false
	}
	m.members[id] = &memberState{incarnation: incarnation}
	return m.advance()
}

// Leave removes a member, unless a later incarnation has joined. It reports
// whether the version in force rose.
func (m *Members) Leave(id types.TargetID, incarnation uint64) bool {
	if s, ok := m.members[id]; !ok || s.incarnation > incarnation {
		return false
	}
	delete(m.members, id)
	return m.advance()
}

// Acknowledge records that a member has put a version in force, and reports
// whether the version in force of the data centre rose. It ignores unknown
// members, other incarnations and versions below the last one.
func (m *Members) Acknowledge(id types.TargetID, incarnation uint64, version int64) bool {
	s, ok := m.members[id]
	if !ok || s.incarnation != incarnation || version <= s.version {
		return false
	}
	s.version = version
	if !s.counted && version >= m.inForce {
		s.counted = true
	}
	return m.advance()
}

// Behind returns the members that have not acknowledged a version, sorted.
func (m *Members) Behind(version int64) []types.TargetID {
	return m.list(func(s *memberState) bool { return s.version < version })
}

// Joining returns the members that do not count yet, sorted. They must not
// serve calls.
func (m *Members) Joining() []types.TargetID {
	return m.list(func(s *memberState) bool { return !s.counted })
}

func (m *Members) list(match func(*memberState) bool) []types.TargetID {
	var out []types.TargetID
	for id, s := range m.members {
		if match(s) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// advance raises the version in force to the lowest one of the counted
// members. Without any, nothing is known and the version stays.
func (m *Members) advance() bool {
	lowest, found := int64(0), false
	for _, s := range m.members {
		if s.counted && (!found || s.version < lowest) {
			lowest, found = s.version, true
		}
	}
	if !found || lowest <= m.inForce {
		return false
	}
	m.inForce = lowest
	return true
}
