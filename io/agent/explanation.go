package agent

// ExplainPath is the path at Settings.Metrics that takes an ExplainRequest by POST and
// responds with an Explanation, or with an ExplainError if there is no route to explain.
const ExplainPath = "/explain"

// ExplainRequest describes a request that isn't sent. It has no API key: the customer is
// named instead.
type ExplainRequest struct {
	Method    string          `json:"method"`
	Host      string          `json:"host"`
	Path      string          `json:"path"`
	Headers   []ExplainHeader `json:"headers,omitempty"`
	Customer  string          `json:"customer,omitempty"`
	BodyBytes int             `json:"bodyBytes,omitempty"`
}

// ExplainHeader is a header field of the request.
type ExplainHeader struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// ExplainError says why a request can't be explained.
type ExplainError struct {
	Error string `json:"error"`
}

// Explanation tells where a request would go.
type Explanation struct {
	Config     int64              `json:"config"` // version in force
	Route      ExplainedRoute     `json:"route"`
	Customer   *ExplainedCustomer `json:"customer,omitempty"`
	StoreAgeMs int64              `json:"storeAgeMs"` // age of the knowledge of the store, -1 if unknown
	KeysServed bool               `json:"keysServed"` // requests with API keys are served
	Services   []ExplainedService `json:"services"`
	Refusal    *ExplainedRefusal  `json:"refusal,omitempty"` // before a service is chosen
}

// ExplainedRoute is the route of the request.
type ExplainedRoute struct {
	Name       string `json:"name"`
	Rank       int    `json:"rank"`
	Attempts   int    `json:"attempts"`
	AtMostOnce bool   `json:"atMostOnce"`
	Public     bool   `json:"public"`
}

// ExplainedCustomer is the customer of the request.
type ExplainedCustomer struct {
	Name         string  `json:"name"`
	Rank         int     `json:"rank"`
	RequestsPerS float64 `json:"requestsPerS"` // 0: no quota
	Burst        float64 `json:"burst"`
	UsedUp       bool    `json:"usedUp"` // an owner of the quota has said so
}

// ExplainedService is a service of the route. Without an id in the request each one may be
// chosen, and none is marked.
type ExplainedService struct {
	Name         string            `json:"name"`
	Weight       int               `json:"weight"`
	Chosen       bool              `json:"chosen"`
	Target       string            `json:"target,omitempty"` // the best one, "" if there is none
	BodyOffered  bool              `json:"bodyOffered"`      // before it is sent to that target
	HedgeAfterMs float64           `json:"hedgeAfterMs,omitempty"`
	NoHedge      string            `json:"noHedge,omitempty"` // why there is no hedge
	Targets      []ExplainedTarget `json:"targets"`
	Refusal      *ExplainedRefusal `json:"refusal,omitempty"`
}

// ExplainedTarget is a target of a service.
type ExplainedTarget struct {
	Target     string         `json:"target"`
	DataCentre string         `json:"dataCentre"`
	Score      float64        `json:"scoreMs"`            // estimated wait with penalties, the lowest wins
	Excluded   string         `json:"excluded,omitempty"` // why it isn't chosen
	Trial      bool           `json:"trial,omitempty"`    // it is suspended, and a trial call is due
	ColdRate   float64        `json:"coldRate,omitempty"` // it is cold and takes so many calls a second
	StartInMs  float64        `json:"startInMs,omitempty"`
	Gate       *ExplainedGate `json:"gate,omitempty"` // of the target beside the daemon
}

// ExplainedGate is what the gate would decide now.
type ExplainedGate struct {
	Verdict string `json:"verdict"` // run, wait or refuse
	Reason  string `json:"reason,omitempty"`
}

// ExplainedRefusal is what the caller would be told.
type ExplainedRefusal struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
}
