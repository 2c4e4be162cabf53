package clementineport

import (
	"net/http"
	"time"
)

// Forward is a request that is passed on to targets unchanged.
type Forward struct {
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
	// Patience is how long the caller waits, as it says itself; zero if it does not.
	Patience time.Duration
}

// Part is a whole response of one target.
type Part struct {
	Target TargetID
	Status int
	Header http.Header
	Body   []byte
	// Signature proves which target made the response and for which request.
	Signature string
}

// Success reports whether the target answered the request.
func (p *Part) Success() bool { return p.Status >= 200 && p.Status < 300 }

// Gathered is an answer made of the parts of many shards.
type Gathered struct {
	Signatures []string
	Missing    int
	Body       []byte
}

// Forwarded is the final answer to a Forward. Exactly one of Part, Gathered and Err is set.
type Forwarded struct {
	// Part is the response of a target, returned unchanged.
	Part     *Part
	Gathered *Gathered
	// Err is an *Error; its verdict says whether the request may have run.
	Err   *Error
	Stats ForwardStats
}

// LeftOut is a shard without a part in an answer.
type LeftOut struct {
	Service ServiceID
	// Sends is the number of calls for the shard, and Waiting of those that had no result yet.
	Sends   int
	Waiting int
	// Fault is why earlier calls failed, if any has.
	Fault Fault
	// Targets are those that were asked.
	Targets []TargetID
}

// ForwardStats says what one request cost.
type ForwardStats struct {
	Shards  int
	Covered int
	Sends   int
	Hedges  int
	Retries int
	Refused int
	// Queued is how long the request waited for targets with room.
	Queued  time.Duration
	LeftOut []LeftOut
}
