package daemon

import (
	"time"

	"trefoilthread/core/member"
	"trefoilthread/core/types"
)

// sentTo is what one start of a member has been told. A restarted daemon has
// the name of its predecessor but knows nothing.
type sentTo struct {
	incarnation uint64
	summaries   map[types.DataCentre]member.Summary
	// failing is when the first of the last failed messages was sent, zero after
	// a sign of life.
	failing time.Time
	failed  int
}

func newSentTo(incarnation uint64) *sentTo {
	return &sentTo{incarnation: incarnation, summaries: map[types.DataCentre]member.Summary{}}
}
