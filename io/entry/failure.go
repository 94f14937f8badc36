package entry

import (
	"encoding/json"
	"net/http"

	"trefoilthread/core/types"
)

// StatusOf returns the HTTP status of an outcome.
func StatusOf(o types.Outcome) int {
	switch o {
	case types.Done:
		return http.StatusOK
	case types.NotRun:
		return http.StatusServiceUnavailable
	case types.DeadlineExceeded:
		return http.StatusGatewayTimeout
	case types.NoSuchService:
		return http.StatusNotFound
	case types.Quarantined:
		return http.StatusUnprocessableEntity
	case types.BadRequest:
		return http.StatusBadRequest
	}
	return http.StatusBadGateway
}

// failureBody is the JSON body of an answer that is not the target's own.
type failureBody struct {
	Outcome    string `json:"outcome"`
	Reason     string `json:"reason"`
	Service    string `json:"service,omitempty"`
	RequestKey string `json:"requestKey,omitempty"`
	Request    string `json:"request,omitempty"`
}

// writeFailure answers with a typed error.
func writeFailure(w http.ResponseWriter, f *types.Failure, service, key, request string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, f.Outcome().String())
	if f.Outcome() == types.NotRun {
		h.Set("Retry-After", "1")
	}
	w.WriteHeader(StatusOf(f.Outcome()))
	// The caller may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(failureBody{
		Outcome: f.Outcome().String(), Reason: f.Reason(), Service: service, RequestKey: key, Request: request,
	})
}
