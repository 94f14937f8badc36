package admin

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"trefoilthread/core/config"
)

// codeOf returns the Connect code of an error.
func codeOf(err error) connect.Code {
	var (
		invalid  *config.Invalid
		conflict *config.Conflict
		missing  *config.Missing
		reused   *config.Reused
	)
	switch {
	case errors.As(err, &invalid):
		return connect.CodeInvalidArgument
	case errors.As(err, &conflict):
		return connect.CodeAborted
	case errors.As(err, &missing), errors.Is(err, ErrNoTarget):
		return connect.CodeNotFound
	case errors.As(err, &reused):
		return connect.CodeAlreadyExists
	case errors.Is(err, config.ErrTooLarge):
		return connect.CodeResourceExhausted
	case errors.Is(err, config.ErrMalformed):
		return connect.CodeDataLoss
	case errors.Is(err, errUndecided):
		return connect.CodeUnavailable
	case errors.Is(err, context.Canceled):
		return connect.CodeCanceled
	case errors.Is(err, context.DeadlineExceeded):
		return connect.CodeDeadlineExceeded
	}
	return connect.CodeUnavailable
}

func toConnect(err error) error { return connect.NewError(codeOf(err), err) }

// isRefusal reports whether the content of a change is the reason that it
// failed.
func isRefusal(err error) bool {
	switch codeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeAborted, connect.CodeNotFound,
		connect.CodeAlreadyExists, connect.CodeResourceExhausted:
		return true
	}
	return false
}
