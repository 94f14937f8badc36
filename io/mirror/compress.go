package mirror

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// minCompressBytes is the length above which values are compressed. Agent records
	// are shorter, configurations usually longer.
	minCompressBytes = 4 << 10
	// maxDecompressedBytes limits a value that another agent has compressed. It is above
	// the longest value that the store accepts.
	maxDecompressedBytes = 16 << 20
)

// errInvalidCompressed means that a compressed value cannot be read.
var errInvalidCompressed = errors.New("invalid compressed value")

// compress compresses a value with DEFLATE.
func compress(value []byte) ([]byte, error) {
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

// decompress reverses compress. It returns errInvalidCompressed for damaged values and
// for those of more than maxDecompressedBytes.
func decompress(compressed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDecompressedBytes+1))
	if err != nil {
		return nil, errors.Wrapf(errInvalidCompressed, "%v", err)
	}
	if len(value) > maxDecompressedBytes {
		return nil, errors.Wrapf(errInvalidCompressed, "longer than %d bytes", maxDecompressedBytes)
	}
	return value, nil
}
