// Package cpjson writes and reads the JSON bodies of HTTP requests and responses. It decides how large a body
// may be and what a refusal looks like; which status a fault has is for each API to decide.
package cpjson

import (
	"encoding/json"
	"net/http"

	"github.com/clementineport/clementineport"
)

// Refusal is the part of the body of a refusal that all APIs share.
type Refusal struct {
	Verdict clementineport.Verdict
	Fault   clementineport.Fault
	Reason  string
}

// NewRefusal returns the refusal of a fault, with the verdict that it proves.
func NewRefusal(fault clementineport.Fault, reason string) Refusal {
	return Refusal{Verdict: fault.Verdict(), Fault: fault, Reason: reason}
}

// Write writes a response. The status is sent before the body, so a reader that has gone away is not reported.
func Write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Read decodes the body of a request of at most limit bytes; unknown keys are an error.
func Read(w http.ResponseWriter, r *http.Request, limit int64, body any) error {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	dec.DisallowUnknownFields()
	if err := dec.Decode(body); err != nil {
		return clementineport.Fail(clementineport.FaultInvalid, "body: %v", err)
	}
	return nil
}
