package entry

import (
	"time"

	"trefoilthread/core/types"
)

// Rule is what the configuration says of a call.
type Rule struct {
	Class    types.Class
	Deadline time.Duration
	Worth    float64
	// MaxBody bounds the request body in bytes.
	MaxBody int64
}
