package agent_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"trefoilthread/io/agent"
)

// Guards against a value that another agent has compressed and that is cut,
// spoiled, or grows beyond all bounds.
func TestPackedValues(t *testing.T) {
	is := is.New(t)
	value := []byte(strings.Repeat(`{"name":"route"},`, 2000))
	packed, err := agent.Pack(value)
	is.NoErr(err)
	is.True(len(packed) < len(value)/10)
	got, err := agent.Unpack(packed)
	is.NoErr(err)
	is.True(bytes.Equal(got, value))
	_, err = agent.Unpack(packed[:len(packed)/2])
	is.True(err != nil)
	_, err = agent.Unpack([]byte("no compressed value"))
	is.True(err != nil)
	bomb, err := agent.Pack(make([]byte, 17<<20))
	is.NoErr(err)
	_, err = agent.Unpack(bomb)
	is.True(err != nil)
}
