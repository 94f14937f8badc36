package agent_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"trefoilthread/core/types"
	"trefoilthread/io/agent"
	"trefoilthread/io/mesh"
)

// Guards against a request that an agent of the version before can't decode and that keeps
// other requests from its target.
func TestUnsentTextIsNoFaultOfTheTarget(t *testing.T) {
	is := is.New(t)
	res := agent.RouteResult(t.Context(), nil, errors.Wrap(mesh.ErrOldPeer, "call"), 0)
	is.True(!res.Unreached)
	is.True(!res.Failed)
	is.Equal(res.Outcome, types.BadRequest)
}
