package mesh

import (
	"context"
	"time"
)

// TokenRequest asks the daemon that owns a customer for tokens of its quota. Daemons that
// don't know this message skip it, so its sender must not wait long.
type TokenRequest struct {
	Customer string `cbor:"1,keyasint,omitempty"`
	Count    int    `cbor:"2,keyasint,omitempty"`
}

// Tokens answers a TokenRequest.
type Tokens struct {
	Entitled bool  `cbor:"1,keyasint,omitempty"` // the sender may grant tokens of the customer now
	Count    int   `cbor:"2,keyasint,omitempty"`
	WaitUs   int64 `cbor:"3,keyasint,omitempty"` // time until the next token, if there were fewer than asked for
}

// Wait returns the time until the next token.
func (t *Tokens) Wait() time.Duration { return time.Duration(t.WaitUs) * time.Microsecond }

// RequestTokens asks for tokens and waits for the answer. When ctx ends first, the tokens
// are lost.
func (c *Client) RequestTokens(ctx context.Context, addr string, r *TokenRequest) (*Tokens, error) {
	l, err := c.link(ctx, linkKey{addr: addr})
	if err != nil {
		return nil, err
	}
	t := new(Tokens)
	if _, err := l.call(ctx, kindTokenRequest, r, t); err != nil {
		return nil, err
	}
	return t, nil
}

// grantTokens answers a request for tokens at once, without a goroutine of its own.
func (p *inbound) grantTokens(f frame) error {
	r := new(TokenRequest)
	if err := f.decode(r); err != nil {
		p.s.opts.Undecoded(p.from, err)
		return p.out.send(kindTokens, f.call, &Tokens{})
	}
	if p.s.opts.Tokens == nil {
		return p.out.send(kindTokens, f.call, &Tokens{})
	}
	return p.out.send(kindTokens, f.call, p.s.opts.Tokens(p.from, r))
}
