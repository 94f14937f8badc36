package agent

import (
	"time"

	"trefoilthread/core/types"
	"trefoilthread/core/vhost"
	"trefoilthread/io/httpw"
	"trefoilthread/io/mesh"
)

// RequestInfo is what the header of a caller's request says.
type RequestInfo struct {
	ID      string        // unique for each attempt of a caller
	Host    string        // virtual host
	Timeout time.Duration // how long the caller waits, 0 if not given
	Key     string        // API key, "" if there is none or more than one; it must not be logged
}

// ResponseInfo is what the target's response says.
type ResponseInfo struct {
	// ID is that of the request that the response names, "" if it names none.
	ID string
	// NotRun means that the target states that it did not run the request.
	NotRun bool
	// Valid means that the response is complete and comes from the target. Other
	// responses must not reach the caller.
	Valid bool
	// Failed means that the target failed the request.
	Failed bool
	// Pace is how long work takes on the target's VM at the moment: 1 as usual, 2 if it
	// takes twice as long, 0 if the response does not say.
	Pace float64
	// Rate is the number of requests a second that the target takes from all agents
	// together, 0 if the response names none.
	Rate float64
	// Leaving means that the target says that it leaves.
	Leaving bool
}

// HealthInfo is what the response to a health check says.
type HealthInfo struct {
	Target  types.TargetID // the one that responds
	Pace    float64        // as in ResponseInfo
	Rate    float64        // as in ResponseInfo
	Leaving bool           // as in ResponseInfo
	Cold    time.Duration  // how much longer the target is cold, 0 if it isn't
}

// Wire converts between the messages of the agent and those of the platform.
type Wire struct {
	// ReadRequestInfo reads the header of a caller's request; false if a required value is
	// missing or invalid.
	ReadRequestInfo func(req *httpw.Request) (RequestInfo, bool)
	// WithoutKey returns the header of a request without API keys and customers that the
	// caller has named.
	WithoutKey func(hdr httpw.Header) httpw.Header
	// TargetRequest returns the request for the target, with the customer of the call if it
	// has one; left is the time until its deadline.
	TargetRequest func(call *mesh.CallHead, left time.Duration) *httpw.Request
	// Belongs reports whether resp is the response to req, a request of TargetRequest.
	Belongs func(req *httpw.Request, resp *httpw.Response) bool
	// ReadResponseInfo reads a target's response.
	ReadResponseInfo func(resp *httpw.Response) ResponseInfo
	// HealthRequest returns a health check request for a path.
	HealthRequest func(path string) *httpw.Request
	// ReadHealth reads the response to a health check.
	ReadHealth func(resp *httpw.Response) HealthInfo
	// Refusal returns the response to a request that has not run and never will; retry
	// is the time after which the caller may repeat it.
	Refusal func(reason string, retry time.Duration) *httpw.Response
	// TooMany returns the response to a request over its customer's quota, which has not
	// run and never will; retry is as in Refusal.
	TooMany func(reason string, retry time.Duration) *httpw.Response
	// DecodeTable decodes the operator's document.
	DecodeTable func(value []byte) (*vhost.Table, error)
	// TableKey is the store's key of that document.
	TableKey string
	// DrainPrefix is the prefix of the store's keys that name drained data centres, "" if
	// there are none.
	DrainPrefix string
}
