package agent_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/types"
	"trefoilthread/core/vhost"
	"trefoilthread/io/agent"
)

// Guards against a gate that orders calls without the rank of their customer or route, because it
// is lost between the entry and the gate, and against requests without a customer that fail.
func TestCallHasItsCustomer(t *testing.T) {
	is := is.New(t)
	table, err := vhost.New(vhost.TableSpec{
		Version: 1, Services: []vhost.ServiceSpec{{Name: "bookings"}},
		Hosts: map[string][]vhost.RouteSpec{"a": {{
			Name: "all", Prefix: "/", Rank: 2, Attempts: 2, Timeout: time.Second, Goal: time.Second,
			Services: []vhost.WeightedService{{Service: "bookings", Weight: 1}},
		}}},
		Customers: []vhost.CustomerSpec{{Name: "harbour", Keys: []string{"k"}, Rank: 3}},
	})
	is.NoErr(err)
	r, ok := table.Lookup("a", "/")
	is.True(ok)
	customer, ok := table.CustomerOf("k")
	is.True(ok)
	c, err := agent.CallOfCustomer(time.Now(), customer, r)
	is.NoErr(err)
	is.Equal(c.Customer(), types.CustomerName("harbour"))
	is.Equal(c.CustomerRank(), 3)
	is.Equal(c.Rank(), 2)
	c, err = agent.CallOfCustomer(time.Now(), nil, r)
	is.NoErr(err)
	is.Equal(c.Customer(), types.CustomerName(""))
	is.Equal(c.CustomerRank(), 0)
}
