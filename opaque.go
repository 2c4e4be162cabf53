package clementineport

import (
	"net/http"
	"time"
)

// OpaqueRequest is a request that is forwarded to targets unchanged.
type OpaqueRequest struct {
	ID     RequestID
	Method string
	Host   string
	// URI is the path and query string as sent by the caller.
	URI    string
	Header http.Header
	Body   []byte
	// Arrived is the time at which the request was read, Deadline the time by which it must be answered.
	Arrived  time.Time
	Deadline time.Time
	// MaxWait is how long the caller states that it will wait, or zero if it does not state it.
	MaxWait time.Duration
}

// OpaqueResponse is the complete response of one target.
type OpaqueResponse struct {
	Target TargetID
	Status int
	Header http.Header
	Body   []byte
	// Signature proves which target produced the response and for which request.
	Signature string
}

// Success reports whether the response has a 2xx status.
func (r *OpaqueResponse) Success() bool { return r.Status >= 200 && r.Status < 300 }
