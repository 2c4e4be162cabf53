package clementineport

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// Workspace is the customer on whose behalf the request was sent, or empty.
	Workspace WorkspaceID
	// Memory counts what the request holds, with the responses to it. It is nil if there is no limit.
	Memory MemoryAccount
	// EarlierAttempts is the number of targets of a shard that may have got the request from another VM.
	EarlierAttempts int
}

// RequestKey identifies the contents of a request: requests with the same method, host, URI and body have the same key,
// whichever caller sends them and whatever their ids.
type RequestKey uint64

// String returns the key as it is logged.
func (k RequestKey) String() string { return fmt.Sprintf("%016x", uint64(k)) }

// Key returns the key of the request.
func (r *OpaqueRequest) Key() RequestKey {
	h := xxhash.New()
	for _, part := range []string{r.Method, strings.ToLower(r.Host), r.URI} {
		// Hashing never fails. None of the parts contains a line break.
		_, _ = h.WriteString(part + "\n")
	}
	_, _ = h.Write(r.Body)
	return RequestKey(h.Sum64())
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

// The range of the statuses of final responses.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// ValidStatus reports whether a final response may have a status. What has another one, such as 000, is no response.
func ValidStatus(status int) bool { return status >= minFinalStatus && status <= maxFinalStatus }

// Success reports whether the response has a 2xx status.
func (r *OpaqueResponse) Success() bool { return r.Status >= 200 && r.Status < 300 }

// GatheredResponse is a response that is merged from those of several shards.
type GatheredResponse struct {
	// Signatures are those of the merged responses.
	Signatures []string
	// Missing is the number of shards without a response.
	Missing int
	Body    []byte
}

// OpaqueResult is the result of an opaque request. Exactly one of its fields is set.
type OpaqueResult struct {
	// Part is the unchanged response of one target.
	Part     *OpaqueResponse
	Gathered *GatheredResponse
	// Err is the error of a failed request; its verdict states whether the request may have run.
	Err *Error
}

// ReroutedRequest is an opaque request that a VM sends to another VM, because it reaches no target itself. The receiver
// doesn't send it to a further VM.
type ReroutedRequest struct {
	OpaqueRequest
	// From is the VM that sends it.
	From VMID
	// Version is the lowest version of the routes by which the request may be handled.
	Version Revision
	// Route is the fingerprint of the route that the sender has found, or zero if it states none. A receiver that finds another
	// one doesn't run the request.
	Route RouteFingerprint
}

// ReroutedResult is the result of a ReroutedRequest.
type ReroutedResult struct {
	OpaqueResult
	// Version is the version of the routes by which the request was handled.
	Version Revision
}
