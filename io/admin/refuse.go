package admin

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"trefoilthread/core/config"
	"trefoilthread/io/store"
)

const (
	// refuseTimeout bounds how long the answer to a refused change waits for
	// its audit entry.
	refuseTimeout = time.Second
	// refuseAttempts bounds the writes; an entry is not worth more of the
	// store's call budget.
	refuseAttempts = 3
	maxField       = 64
)

// refuse logs a refused change and adds it to the audit record. A change that
// failed because of the store is only logged: the record is in the same store.
func (h *handler) refuse(ctx context.Context, c config.Change, reason error) {
	entry := h.opt.Log.WithFields(fieldsOf(c)).WithError(reason)
	if c.DryRun() {
		return
	}
	if !isRefusal(reason) {
		entry.Error("configuration change failed")
		return
	}
	// The entry is also written when the operator has given up.
	ctx, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), h.opt.Clock, refuseTimeout)
	defer cancel()
	if err := h.record(ctx, c, reason); err != nil {
		entry = entry.WithField("audit", err.Error())
	}
	entry.Warn("configuration change refused")
}

func (h *handler) record(ctx context.Context, c config.Change, reason error) error {
	var err error
	for range refuseAttempts {
		refusals, rev, readErr := h.readRefusals(ctx)
		if readErr != nil {
			return readErr
		}
		value, encodeErr := config.EncodeRefusals(refusals.Add(c, reason, h.opt.Now()))
		if encodeErr != nil {
			return encodeErr
		}
		// A lost answer is not read back: a missing entry is less harm than
		// a refusal that is listed twice.
		_, err = h.opt.Store.CompareAndSwap(ctx, config.RefusalsKey, rev, value, 0)
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return err
}

func (h *handler) readRefusals(ctx context.Context) (config.Refusals, int64, error) {
	item, err := h.opt.Store.Get(ctx, config.RefusalsKey)
	if errors.Is(err, store.ErrNotFound) {
		return config.Refusals{}, 0, nil
	}
	if err != nil {
		return config.Refusals{}, 0, err
	}
	r, err := config.DecodeRefusals(item.Value)
	return r, item.Revision, err
}

// fieldsOf returns the log fields of a change. The texts are bounded, since a
// refused change can hold anything.
func fieldsOf(c config.Change) log.Fields {
	return log.Fields{
		"operator": clip(c.Operator()), "address": clip(c.Address()), "requestId": clip(c.RequestID()),
		"service": clip(string(c.Name())), "action": c.Action().String(), "base": c.Base(),
	}
}

func clip(s string) string {
	if len(s) > maxField {
		return s[:maxField]
	}
	return s
}
