package stage_test

import (
	"testing"

	"github.com/matryer/is"

	"trefoilthread/core/stage"
	"trefoilthread/core/types"
)

// Guards against a joining, restarted or leaving member that holds back a
// change or makes the version in force untrue.
func TestMembersCount(t *testing.T) {
	is := is.New(t)
	m := stage.NewMembers(4, []stage.Member{stage.NewMember("a", 1), stage.NewMember("b", 1)})
	is.True(!m.Acknowledge("a", 1, 6)) // b is of the old summary and unknown
	m.Join("c", 1)
	is.True(!m.Acknowledge("c", 1, 3)) // below the version in force
	is.Equal(m.Joining(), []types.TargetID{"c"})
	is.Equal(m.Behind(4), []types.TargetID{"b", "c"})
	is.True(m.Acknowledge("b", 1, 5))
	is.Equal(m.InForce(), int64(5)) // c does not count
	is.True(!m.Acknowledge("c", 1, 5))
	is.Equal(m.Len(), 3)
	is.True(!m.Acknowledge("b", 2, 9)) // unknown incarnation
	is.True(!m.Join("b", 2))           // c still has 5
	is.True(!m.Leave("b", 1))          // the former incarnation
	is.True(m.Leave("c", 1))           // a has 6
	is.Equal(m.Joining(), []types.TargetID{"b"})
	is.True(!m.Leave("a", 1)) // nobody counts, so nothing is known
	is.Equal(m.InForce(), int64(6))
}

// Guards against "accepted" without knowledge, and against a late report that
// takes back a version or hides a data centre.
func TestStatus(t *testing.T) {
	is := is.New(t)
	s := stage.NewStatus()
	is.True(!s.Accepted(0)) // nothing known
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
