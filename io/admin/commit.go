package admin

import (
	"context"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/config"
	"trefoilthread/io/store"
)

// maxAttempts bounds the loop of one change. There is no pause between the
// attempts: each conflict means that another change was committed, so the
// operators as a whole make progress.
const maxAttempts = 16

// Errors of commit, beside those of config and store.
var (
	errContended = errors.New("too many concurrent changes, nothing was committed; send the change again")
	errUndecided = errors.New("the change may have been committed; send it again with the same request id")
)

// commit applies a change to the document in the store.
func (h *handler) commit(ctx context.Context, c config.Change) (config.Result, error) {
	// undecided is the revision that a write with a lost answer was based on,
	// or -1. Such a write can take effect only while the key is at this
	// revision.
	undecided := int64(-1)
	fail := func(err error) (config.Result, error) {
		if undecided >= 0 {
			err = errors.CombineErrors(errUndecided, err)
		}
		return config.Result{}, err
	}
	for range maxAttempts {
		doc, rev, err := h.read(ctx)
		if err != nil {
			return fail(err)
		}
		next, res, err := config.Apply(doc, c, h.opt.Now())
		if err != nil || res.State() != config.Committed || res.Repeated() {
			return res, err
		}
		if undecided != rev {
			undecided = -1
		}
		value, err := config.Encode(next)
		if err != nil {
			return fail(err)
		}
		_, err = h.opt.Store.CompareAndSwap(ctx, config.DocumentKey, rev, value, 0)
		switch {
		case err == nil:
			return res, nil
		case errors.Is(err, store.ErrConflict):
		case errors.Is(err, store.ErrBudget):
			return fail(err)
		case errors.Is(err, store.ErrUnknown):
			undecided = rev
		default:
			// The store may have taken the write before it became unreachable.
			undecided = rev
			return fail(err)
		}
	}
	return fail(errContended)
}

// read returns the document in the store and its revision, or the empty
// document and 0.
func (h *handler) read(ctx context.Context) (config.Document, int64, error) {
	item, err := h.opt.Store.Get(ctx, config.DocumentKey)
	if errors.Is(err, store.ErrNotFound) {
		return config.Document{}, 0, nil
	}
	if err != nil {
		return config.Document{}, 0, err
	}
	doc, err := config.Decode(item.Value)
	return doc, item.Revision, err
}
