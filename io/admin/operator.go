package admin

import "context"

// operator is who makes a call and from where.
type operator struct {
	name    string
	address string
}

type operatorKey struct{}

// operatorOf returns the operator that the authenticator admitted.
func operatorOf(ctx context.Context) operator {
	op, _ := ctx.Value(operatorKey{}).(operator)
	return op
}
