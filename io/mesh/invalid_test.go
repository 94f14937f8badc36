package mesh_test

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"trefoilthread/io/httpw"
	"trefoilthread/io/mesh"
)

// answerer answers calls with the answer whose name is the id of the call.
func answerer(t *testing.T, answers map[string]*mesh.Answer) string {
	return accept(t, func(nc net.Conn) {
		for {
			kind, call, payload, err := receiveNumbered(nc)
			if err != nil {
				return
			}
			var head mesh.CallHead
			if kind == wireCall && cbor.Unmarshal(payload, &head) == nil {
				_, _ = nc.Write(wireOf(t, wireAnswer, call, answers[head.ID])) // an error shows in the call
			}
		}
	})
}

// Guards against an answer of another daemon that its caller would read as another response, or
// not at all: daemons of earlier versions pass on what they get from their targets. The call may
// have run, and other calls of the connection go on.
func TestInvalidAnswersAreNotPassedOn(t *testing.T) {
	is := is.New(t)
	valid := map[string]*mesh.Answer{
		"200": {Status: 200}, "599": {Status: 599, Phrase: "Jos\xe9", Header: httpw.Header{{Name: "A", Value: "Jos\xe9\tX"}}},
		"refused": {Result: mesh.Refused, Reason: "full"}, "broken": {Result: mesh.Broken}, "expired": {Result: mesh.Expired},
	}
	invalid := map[string]*mesh.Answer{
		"phrase": {Status: 200, Phrase: "OK\r\nA: b"}, "control byte in the phrase": {Status: 200, Phrase: "O\x01K"},
	}
	for _, status := range []int{-200, 0, 20, 99, 100, 101, 199, 600, 999, 1000} {
		invalid[fmt.Sprint("status ", status)] = &mesh.Answer{Status: status}
	}
	for _, name := range []string{"", " ", "A ", " A", "A B", "A:", "A\r\nB", "A\x00", "A\x01", "A\x7f", "\xc4"} {
		invalid[fmt.Sprintf("name %q", name)] = &mesh.Answer{Status: 200, Header: httpw.Header{{Name: "B", Value: "c"}, {Name: name, Value: "b"}}}
	}
	for _, value := range []string{"b\r\nC: d", "b\r", "\n", "b\x00", "\x01b", "b\x7f"} {
		invalid[fmt.Sprintf("value %q", value)] = &mesh.Answer{Status: 200, Header: httpw.Header{{Name: "A", Value: value}}}
	}
	reported := 0
	c := client(t, mesh.ClientOptions{Undecoded: func(string, error) { reported++ }})
	answers := maps.Clone(valid)
	maps.Copy(answers, invalid)
	addr := answerer(t, answers)
	for id := range invalid {
		ans, err := c.Call(bounded(t), addr, &mesh.CallHead{ID: id})
		if !errors.Is(err, mesh.ErrUndecoded) {
			t.Errorf("%s is passed on: %+v, error %v", id, ans, err)
		}
	}
	is.Equal(reported, len(invalid))
	for id, want := range valid {
		ans, err := c.Call(bounded(t), addr, &mesh.CallHead{ID: id})
		is.NoErr(err)
		is.Equal(ans.Status, want.Status)
		is.Equal(ans.Result, want.Result)
	}
	is.Equal(reported, len(invalid))
}
