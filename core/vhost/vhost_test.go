package vhost_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"trefoilthread/core/types"
	"trefoilthread/core/vhost"
)

func route(name, prefix string, parts ...vhost.WeightedService) vhost.RouteSpec {
	return vhost.RouteSpec{Name: name, Prefix: prefix, Attempts: 2, Timeout: time.Second, Goal: time.Second, Services: parts}
}

func table(t *testing.T, routes ...vhost.RouteSpec) *vhost.Table {
	t.Helper()
	tb, err := vhost.New(vhost.TableSpec{
		Version: 7, Hosts: map[string][]vhost.RouteSpec{"A.example": routes},
		Services: []vhost.ServiceSpec{{Name: "bookings"}, {Name: "stockroom"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return tb
}

// Guards against a request that gets the route of another host, of a prefix that
// is not the longest match, or of a prefix that resembles its path but differs in
// case, in the final slash or occurs only in the query.
func TestLookup(t *testing.T) {
	is := is.New(t)
	p := vhost.WeightedService{Service: "bookings", Weight: 1}
	tb := table(t, route("all", "/", p), route("a", "/a/", p), route("ab", "/a/b/", p))
	for path, want := range map[string]string{
		"/": "all", "/a": "all", "/a/": "a", "/a/b": "a", "/a/b/": "ab", "/a/b/c?x=/": "ab", "/?/a/": "all", "/A/": "all",
	} {
		r, ok := tb.Lookup("a.EXAMPLE:81", path)
		is.True(ok)
		is.Equal(r.Name(), want)
	}
	for _, host := range []string{"", "b.example", "x.a.example"} {
		_, ok := tb.Lookup(host, "/a/")
		is.True(!ok)
	}
}

// Guards against a traffic split that deviates from the weights, and against a
// retried request that goes to another service than its first attempt.
func TestServiceFollowsTheWeights(t *testing.T) {
	is := is.New(t)
	tb := table(t, route("r", "/", vhost.WeightedService{Service: "bookings", Weight: 90}, vhost.WeightedService{Service: "stockroom", Weight: 10}))
	r, _ := tb.Lookup("a.example", "/")
	n := 0
	for i := range 10_000 {
		h := xxhash.Sum64([]byte{byte(i), byte(i >> 8)})
		is.Equal(r.Service(h), r.Service(h))
		if r.Service(h) == types.ServiceName("stockroom") {
			n++
		}
	}
	is.True(n > 900 && n < 1100)
}

// Guards against an invalid configuration that is accepted in part, and against
// an error that reports only some of its faults.
func TestFaultsAreReportedTogether(t *testing.T) {
	is := is.New(t)
	_, err := vhost.New(vhost.TableSpec{Hosts: map[string][]vhost.RouteSpec{"a": {
		route("noSlash", "/a", vhost.WeightedService{Service: "bookings", Weight: 1}),
		route("noWeight", "/b/", vhost.WeightedService{Service: "bookings"}),
		route("noService", "/c/", vhost.WeightedService{Service: "other", Weight: 1}),
	}}, Services: []vhost.ServiceSpec{{Name: "bookings"}}})
	is.True(err != nil)
	for _, want := range []string{"version 0", "noSlash", "noWeight", "noService"} {
		is.True(strings.Contains(err.Error(), want))
	}
}

// Guards against a configuration in force in which one key is accepted for two customers, a
// key that no caller can send, or a quota that isn't a number, and against errors in the log
// that show a key.
func TestCustomersAreChecked(t *testing.T) {
	const secret = "k-secret"
	good := vhost.CustomerSpec{Name: "a", Keys: []string{secret, "k-2"}, Rank: 1, PerSecond: 10, Burst: 5}
	for name, c := range map[string]struct {
		customers []vhost.CustomerSpec
		names     string // the error must contain it, "" for no error
	}{
		"valid":              {[]vhost.CustomerSpec{good, {Name: "b", Keys: []string{"k-3"}}}, ""},
		"key of two":         {[]vhost.CustomerSpec{good, {Name: "b", Keys: []string{secret}}}, "customer b: key 1"},
		"key is empty":       {[]vhost.CustomerSpec{good, {Name: "b", Keys: []string{"k-3", ""}}}, "customer b: key 2"},
		"key is too long":    {[]vhost.CustomerSpec{{Name: "b", Keys: []string{strings.Repeat("k", 513)}}}, "customer b: key 1"},
		"negative limit":     {[]vhost.CustomerSpec{{Name: "b", PerSecond: -1}}, "customer b: limit"},
		"infinite burst":     {[]vhost.CustomerSpec{{Name: "b", Burst: math.Inf(1)}}, "customer b: burst"},
		"limit is no number": {[]vhost.CustomerSpec{{Name: "b", PerSecond: math.NaN()}}, "customer b: limit"},
		"named twice":        {[]vhost.CustomerSpec{good, {Name: "a"}}, "customer a: named twice"},
		"without name":       {[]vhost.CustomerSpec{{Keys: []string{"k-3"}}}, "without name"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tb, err := vhost.New(vhost.TableSpec{Version: 1, Customers: c.customers})
			if c.names == "" {
				is.NoErr(err)
				who, ok := tb.CustomerOf(secret)
				is.True(ok)
				is.Equal(who.Name(), types.CustomerName("a"))
				_, ok = tb.CustomerOf("k-unknown")
				is.True(!ok)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.names))
			is.True(!strings.Contains(err.Error(), secret))
		})
	}
}
