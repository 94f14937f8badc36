package stand

// Answer is the JSON body of a target's answer. Chain lists the targets that
// ran, this one first. Filler is as long as the body size that is set.
type Answer struct {
	Request string `json:"request"`
	Key     string `json:"key,omitempty"`
	Service string `json:"service"`
	Target  string `json:"target"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// BodyLength is the number of bytes of the request body.
	BodyLength int64  `json:"bodyLength"`
	Chain      []Step `json:"chain"`
	// Failed is the status of the next service if its call failed.
	Failed int    `json:"failed,omitempty"`
	Filler string `json:"filler,omitempty"`
}
