package cpfanout

import (
	"time"

	"github.com/clementineport/clementineport"
)

// LeftOut is a shard without a part in an answer.
type LeftOut struct {
	Service clementineport.ServiceID
	// Sends is the number of calls for the shard, and Waiting of those that had no result yet.
	Sends   int
	Waiting int
	// Deferred is true when it was not asked because its targets would have answered too late.
	Deferred bool
	// Fault is why earlier calls failed, if any has.
	Fault clementineport.Fault
	// Targets are those that were asked.
	Targets []clementineport.TargetID
}

// Stats says what one request cost.
type Stats struct {
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
