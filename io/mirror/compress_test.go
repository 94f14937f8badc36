package mirror_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"trefoilthread/io/mirror"
)

// Guards against accepting a compressed value of another agent that is truncated,
// damaged, or exceeds the size limit when decompressed.
func TestPackedValues(t *testing.T) {
	is := is.New(t)
	value := []byte(strings.Repeat(`{"name":"route"},`, 2000))
	packed, err := mirror.Compress(value)
	is.NoErr(err)
	is.True(len(packed) < len(value)/10)
	got, err := mirror.Decompress(packed)
	is.NoErr(err)
	is.True(bytes.Equal(got, value))
	_, err = mirror.Decompress(packed[:len(packed)/2])
	is.True(err != nil)
	_, err = mirror.Decompress([]byte("no compressed value"))
	is.True(err != nil)
	bomb, err := mirror.Compress(make([]byte, 17<<20))
	is.NoErr(err)
	_, err = mirror.Decompress(bomb)
	is.True(err != nil)
}
