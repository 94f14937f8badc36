package types_test

import (
	"testing"

	"github.com/matryer/is"

	"trefoilthread/core/types"
)

// Guards against an address that no connection can be made to and that is taken for that of
// a target.
func TestIsAddress(t *testing.T) {
	is := is.New(t)
	for s, want := range map[string]bool{
		"10.0.0.1:8080": true, "[::1]:80": true, "vm-1:7000": true, "10.0.0.1:65535": true,
		"": false, "10.0.0.1": false, ":80": false, "10.0.0.1:": false, "10.0.0.1:0": false, "10.0.0.1:65536": false,
		"10.0.0.1:-1": false, "10.0.0.1:99999999999999999999": false, "10.0.0.1:http": false, "vm 1:80": false, "a:80:80": false,
	} {
		is.Equal(types.IsAddress(s), want)
	}
}
