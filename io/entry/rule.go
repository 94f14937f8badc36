package entry

import (
	"time"

	"trefoilthread/core/types"
	"trefoilthread/io/wire"
)

// Rule is what the configuration says of a call.
type Rule struct {
	Class    types.Class
	Deadline time.Duration
	Worth    float64
	// Version is the configuration version that the rule is from.
	Version int64
	// MaxBody bounds the request body in bytes.
	MaxBody int64
}

// Apply makes head a call under r.
func (r Rule) Apply(head *wire.CallHead) {
	head.Urgent, head.Runs = r.Class.Urgent(), uint8(r.Class.Runs())
	head.Worth, head.ConfigAt = r.Worth, r.Version
}
