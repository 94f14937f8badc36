package stand

import (
	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

// The codes and texts of the published API.

func errTooMany() error {
	return connect.NewError(connect.CodeResourceExhausted, errors.New("etcdserver: too many requests"))
}

func errTooLarge() error {
	return connect.NewError(connect.CodeInvalidArgument, errors.New("etcdserver: request is too large"))
}

func errNoKey() error {
	return connect.NewError(connect.CodeInvalidArgument, errors.New("etcdserver: key is not provided"))
}

func errLeaseNotFound() error {
	return connect.NewError(connect.CodeNotFound, errors.New("etcdserver: requested lease not found"))
}

func errLeaseExists() error {
	return connect.NewError(connect.CodeFailedPrecondition, errors.New("etcdserver: lease already exists"))
}

func errCompacted() error {
	return connect.NewError(connect.CodeOutOfRange, errors.New("etcdserver: mvcc: required revision has been compacted"))
}

func errFuture() error {
	return connect.NewError(connect.CodeOutOfRange, errors.New("etcdserver: mvcc: required revision is a future revision"))
}

func errUnsupported(what string) error {
	return connect.NewError(connect.CodeUnimplemented, errors.Newf("stand-in does not serve %s", what))
}
