// Package cpjson reads and writes the JSON bodies of HTTP requests and responses. It limits the size of a body and
// defines the body of a refusal; each API chooses the HTTP status of a fault.
package cpjson

import (
	"encoding/json"
	"net/http"

	"github.com/clementineport/clementineport"
)

// Refusal is the part of the body of a refusal that is common to all APIs.
type Refusal struct {
	Verdict clementineport.Verdict
	Fault   clementineport.Fault
	Reason  string
}

// NewRefusal returns the refusal for a fault, with the verdict of the fault.
func NewRefusal(fault clementineport.Fault, reason string) Refusal {
	return Refusal{Verdict: fault.Verdict(), Fault: fault, Reason: reason}
}

// Write writes a response. Errors are ignored, because the status has been sent before the body is encoded.
func Write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Read decodes the body of a request. It returns an error for a body of more than limit bytes or with unknown keys.
func Read(w http.ResponseWriter, r *http.Request, limit int64, body any) error {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	dec.DisallowUnknownFields()
	if err := dec.Decode(body); err != nil {
		return clementineport.Fail(clementineport.FaultInvalid, "body: %v", err)
	}
	return nil
}
