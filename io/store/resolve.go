package store

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Resolve reads back a write whose outcome is unknown. isOurs finds the unique
// id of the write in a value. The item is the current one, zero if the key has
// none.
//
// True means that the write took effect. False with a revision other than the
// expected one means that the write cannot take effect any more; it may have
// been replaced by a later one, so a value that has several writers must carry
// the ids of earlier writes if that matters. False with the expected revision
// means that it has not taken effect yet: a delayed request still can, so the
// caller sends the same write again with the same revision, of which the store
// accepts one at most.
func Resolve(ctx context.Context, st Store, key string, isOurs func([]byte) bool) (Item, bool, error) {
	it, err := st.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		return Item{}, false, nil
	} else if err != nil {
		return Item{}, false, err
	}
	return it, isOurs(it.Value), nil
}
