package stage_test

import (
	"testing"

	"github.com/matryer/is"

	"trefoilthread/core/stage"
	"trefoilthread/core/types"
)

// A joining, restarted or leaving member must neither delay the version in
// force nor let it rise above what a counted member has acknowledged.
func TestMembersCount(t *testing.T) {
	is := is.New(t)
	m := stage.NewMembers(4, []stage.Member{stage.NewMember("a", 1), stage.NewMember("b", 1)})
	is.True(!m.Acknowledge("a", 1, 6)) // b, of the predecessor's summary, has acknowledged nothing
	m.Join("c", 1)
	is.True(!m.Acknowledge("c", 1, 3)) // below the version in force
	is.Equal(m.Joining(), []types.TargetID{"c"})
	is.Equal(m.Behind(4), []types.TargetID{"b", "c"})
	is.True(m.Acknowledge("b", 1, 5))
	is.Equal(m.InForce(), int64(5)) // c is not counted
	is.True(!m.Acknowledge("c", 1, 5))
	is.Equal(m.NumCounted(), 3)
	is.True(!m.Acknowledge("b", 2, 9)) // unknown incarnation
	is.True(!m.Join("b", 2))           // c has acknowledged only 5
	is.True(!m.Leave("b", 1))          // the replaced incarnation
	is.True(m.Leave("c", 1))           // a has acknowledged 6
	is.Equal(m.Joining(), []types.TargetID{"b"})
	is.True(!m.Leave("a", 1)) // no counted member is left, so the version stays
	is.Equal(m.InForce(), int64(6))
}

// A version must not be accepted while no data centre is known, and a late
// report must neither lower a version in force nor hide the live members of a
// data centre.
func TestStatus(t *testing.T) {
	is := is.New(t)
	s := stage.NewStatus()
	is.True(!s.Accepted(0)) // no data centre is known
	s.SetMembers("penang-north", 7, 3, "p1")
	s.SetMembers("kl-sentral", 8, 9, "k1")
	s.SetMembers("johor-south", 9, 0, "")
	is.True(s.SetInForce("kl-sentral", 2))
	is.Equal(s.Missing(2), []types.DataCentre{"penang-north"})
	is.True(!s.SetMembers("penang-north", 6, 0, "")) // older revision
	is.True(!s.Accepted(2))
	is.True(s.SetInForce("penang-north", 3))
	is.True(!s.SetInForce("kl-sentral", 1))
	is.True(s.Accepted(2)) // johor-south has no live members
	is.Equal(s.DataCentres()[1].Name(), types.DataCentre("kl-sentral"))
}
