package cpfanout

import (
	"time"

	"github.com/clementineport/clementineport"
)

// LeftOut is a shard that the answer does not cover.
type LeftOut struct {
	Service clementineport.ServiceID
	// Sends is the number of calls to the shard, and Waiting the number of those that have no result yet.
	Sends   int
	Waiting int
	// Deferred is true if the shard was not called because its targets would have answered too late.
	Deferred bool
	// Fault is the fault of earlier calls, if any has failed.
	Fault clementineport.Fault
	// Targets lists the target of each call.
	Targets []clementineport.TargetID
}

// Stats counts the calls of one request.
type Stats struct {
	Shards  int
	Covered int
	Sends   int
	Hedges  int
	Retries int
	Refused int
	// Queued is how long the request waited for free targets.
	Queued  time.Duration
	LeftOut []LeftOut
}
