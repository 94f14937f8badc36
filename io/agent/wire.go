package agent

import (
	"time"

	"trefoilthread/core/types"
	"trefoilthread/core/vhost"
	"trefoilthread/io/httpw"
	"trefoilthread/io/mesh"
)

// Ask is what a request's header tells about it.
type Ask struct {
	ID       string        // unique for each attempt of a caller
	Host     string        // virtual host
	Patience time.Duration // how long the caller waits, 0 if not given
}

// Verdict is what a target's response tells.
type Verdict struct {
	// NotRun means that the target states that it did not run the request.
	NotRun bool
	// Valid means that the response is the target's own and whole. Others must
	// not reach the caller.
	Valid bool
	// Failed means that the target failed the request.
	Failed bool
	// Pace is how long work takes on the target's VM at the moment, 1 as
	// usual, 0 if not told.
	Pace float64
}

// Wire translates between the agent and the platform.
type Wire struct {
	// ReadAsk reads a caller's request; false if it lacks what it must have.
	ReadAsk func(req *httpw.Request) (Ask, bool)
	// TargetRequest returns the request that the target gets.
	TargetRequest func(call *mesh.CallHead, left time.Duration) *httpw.Request
	// Belongs reports whether a response is to a request of TargetRequest.
	Belongs func(req *httpw.Request, resp *httpw.Response) bool
	// ReadVerdict reads a target's response.
	ReadVerdict func(resp *httpw.Response) Verdict
	// HealthRequest returns a health check of a target with a path.
	HealthRequest func(path string) *httpw.Request
	// ReadHealth returns which target has answered a health check, and the pace
	// of its host, 0 if not told.
	ReadHealth func(resp *httpw.Response) (types.TargetID, float64)
	// Refusal returns the response to a request that has not run and never
	// will; retry is when the caller may come again.
	Refusal func(reason string, retry time.Duration) *httpw.Response
	// DecodeTable reads the operator's document.
	DecodeTable func(value []byte) (*vhost.Table, error)
	// TableKey is the store's key of that document.
	TableKey string
}
