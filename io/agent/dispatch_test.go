package agent_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/types"
	"trefoilthread/core/vhost"
	"trefoilthread/io/agent"
)

// Guards against a request on trial that is sent to a second target.
func TestRequestOnTrialIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	table, err := vhost.New(vhost.TableSpec{
		Version:  1,
		Services: []vhost.ServiceSpec{{Name: "bookings"}},
		Hosts: map[string][]vhost.RouteSpec{"a": {{
			Name: "menu", Prefix: "/", Runs: types.Idempotent, Attempts: 2, Timeout: time.Second,
			Services: []vhost.WeightedService{{Service: "bookings", Weight: 1}},
		}}},
	})
	is.NoErr(err)
	route, ok := table.Lookup("a", "/x")
	is.True(ok)
	is.True(agent.RetriesLostAnswer(route, false))
	is.True(!agent.RetriesLostAnswer(route, true))
}
