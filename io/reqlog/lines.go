package reqlog

// Lines counts the lines of a log by kind.
type Lines struct {
	// Total is the number of all lines: Requests about the end of a request,
	// Other about something else, Unreadable without a whole JSON object, or
	// with fields that no agent writes.
	Total      int `json:"total"`
	Requests   int `json:"requests"`
	Other      int `json:"other"`
	Unreadable int `json:"unreadable"`
	// Prefixed is the number of lines with text before their JSON object.
	Prefixed int `json:"prefixed"`
	// LeftOut is the number of lines that the agents did not write for want of
	// room, as far as they noted it. Nothing is known of these.
	LeftOut int `json:"leftOut"`
}
