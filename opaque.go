package clementineport

import (
	"net/http"
	"time"
)

// OpaqueRequest is a request that is passed on to targets unchanged.
type OpaqueRequest struct {
	ID     RequestID
	Method string
	Host   string
	// URI is the path and query as the caller sent them.
	URI    string
	Header http.Header
	Body   []byte
	// Arrived is when the request was read, and Deadline when it must have an answer.
	Arrived  time.Time
	Deadline time.Time
	// MaxWait is how long the caller waits, as it says itself; zero if it does not.
	MaxWait time.Duration
}

// OpaqueResponse is a whole response of one target.
type OpaqueResponse struct {
	Target TargetID
	Status int
	Header http.Header
	Body   []byte
	// Signature proves which target made the response and for which request.
	Signature string
}

// Success reports whether the target answered the request.
func (p *OpaqueResponse) Success() bool { return p.Status >= 200 && p.Status < 300 }
