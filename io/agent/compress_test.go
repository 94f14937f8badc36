package agent_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"trefoilthread/io/agent"
)

// Guards against accepting a compressed value of another agent that is truncated,
// damaged, or exceeds the size limit when decompressed.
func TestPackedValues(t *testing.T) {
	is := is.New(t)
	value := []byte(strings.Repeat(`{"name":"route"},`, 2000))
	packed, err := agent.Compress(value)
	is.NoErr(err)
	is.True(len(packed) < len(value)/10)
	got, err := agent.Decompress(packed)
	is.NoErr(err)
	is.True(bytes.Equal(got, value))
	_, err = agent.Decompress(packed[:len(packed)/2])
	is.True(err != nil)
	_, err = agent.Decompress([]byte("no compressed value"))
	is.True(err != nil)
	bomb, err := agent.Compress(make([]byte, 17<<20))
	is.NoErr(err)
	_, err = agent.Decompress(bomb)
	is.True(err != nil)
}
