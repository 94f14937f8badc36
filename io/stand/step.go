package stand

// Step is one target in a chain of services.
type Step struct {
	Service string `json:"service"`
	Target  string `json:"target"`
}
