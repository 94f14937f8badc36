package agent

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// packFrom is the length in bytes from which values are compressed: records
	// of agents are shorter, and configurations longer.
	packFrom = 4 << 10
	// maxUnpacked bounds a value in bytes that another agent has compressed. It
	// is above the longest that the store holds.
	maxUnpacked = 16 << 20
)

// errPacked means that a compressed value can't be read.
var errPacked = errors.New("compressed value not understood")

// pack compresses a value.
func pack(value []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// unpack is the reverse of pack.
func unpack(packed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpacked+1))
	if err != nil {
		return nil, errors.Wrapf(errPacked, "%v", err)
	}
	if len(value) > maxUnpacked {
		return nil, errors.Wrapf(errPacked, "longer than %d bytes", maxUnpacked)
	}
	return value, nil
}
