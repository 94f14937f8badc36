package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

var errUnauthenticated = errors.New("no or unknown bearer token")

// authenticator is the interceptor that admits operators by bearer token.
type authenticator struct {
	opt Options
}

// WrapUnary implements connect.Interceptor.
func (a *authenticator) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		ctx, err := a.authenticate(ctx, req.Header().Get("Authorization"), req.Peer().Addr, req.Spec().Procedure)
		if err != nil {
			return nil, err
		}
		return next(ctx, req)
	}
}

// WrapStreamingClient implements connect.Interceptor; there are no clients.
func (a *authenticator) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor.
func (a *authenticator) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		ctx, err := a.authenticate(ctx, conn.RequestHeader().Get("Authorization"), conn.Peer().Addr, conn.Spec().Procedure)
		if err != nil {
			return err
		}
		return next(ctx, conn)
	}
}

func (a *authenticator) authenticate(ctx context.Context, header, address, procedure string) (context.Context, error) {
	name, ok := a.find(header)
	if !ok {
		a.opt.Log.WithField("address", address).WithField("procedure", procedure).Warn("operator refused: no or unknown token")
		return ctx, connect.NewError(connect.CodeUnauthenticated, errUnauthenticated)
	}
	return context.WithValue(ctx, operatorKey{}, operator{name: name, address: address}), nil
}

// find returns the operator of an Authorization header. It compares all hashes
// so that its time does not depend on which one matches.
func (a *authenticator) find(header string) (string, bool) {
	scheme, token, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	found, ok := "", false
	for name, hash := range a.opt.TokenHash() {
		if subtle.ConstantTimeCompare(sum[:], hash[:]) == 1 {
			found, ok = name, true
		}
	}
	return found, ok
}
