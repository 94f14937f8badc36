package daemon

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"trefoilthread/core/types"
	"trefoilthread/io/store"
)

// stored is a key in the store that this leader writes.
type stored struct {
	revision int64
	written  int64
}

// inForce is the value of dc/<name>/inForce: the configuration version that
// all live members of a data centre have in force.
type inForce struct {
	Epoch   uint64 `cbor:"epoch"`
	Version int64  `cbor:"version"`
}

func inForceKey(dc types.DataCentre) string { return "dc/" + string(dc) + "/inForce" }

// decodeInForce reads the value of the key; no value is version 0.
func decodeInForce(data []byte) (inForce, error) {
	var v inForce
	if len(data) == 0 {
		return v, nil
	}
	return v, errors.Wrap(cbor.Unmarshal(data, &v), "version in force")
}

// writeInForce writes the version that the members have acknowledged. The
// swap fails if a later leader has written, so an old leader cannot take a
// version back.
func (l *leadership) writeInForce(ctx context.Context) {
	l.mu.Lock()
	version, at := l.stage.InForce(), l.inForce
	l.status.SetInForce(l.d.set.DataCentre(), version)
	if version <= at.written {
		l.mu.Unlock()
		return
	}
	l.mu.Unlock()

	value, err := cbor.Marshal(inForce{Epoch: l.epoch, Version: version})
	if err == nil {
		at, err = l.swapInForce(ctx, value, version, at)
	}
	if err != nil {
		l.d.log.WithError(err).Warn("version in force not written, trying again")
	}
	l.mu.Lock()
	l.inForce = at
	l.mu.Unlock()
}

func (l *leadership) swapInForce(ctx context.Context, value []byte, version int64, at stored) (stored, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCall)
	defer cancel()
	st, key := l.d.store, inForceKey(l.d.set.DataCentre())
	rev, err := st.CompareAndSwap(ctx, key, at.revision, value, 0)
	if err == nil {
		return stored{revision: rev, written: version}, nil
	}
	if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
		return at, err
	}
	// Another leader wrote, or the answer was lost: the key tells which.
	it, gerr := st.Get(ctx, key)
	if gerr != nil {
		return at, errors.CombineErrors(err, gerr)
	}
	v, derr := decodeInForce(it.Value)
	if derr != nil {
		return at, derr
	}
	if v.Epoch > l.epoch {
		return at, errors.Wrapf(err, "written by epoch %d, have %d", v.Epoch, l.epoch)
	}
	return stored{revision: it.Revision, written: v.Version}, nil
}
