package cphttp

import (
	"time"

	"github.com/clementineport/clementineport"
)

// Paths of the target protocol.
const (
	PathSearch = "/search"
	PathHealth = "/health"
)

// SearchRequest is the body of a search call.
type SearchRequest struct {
	Request              clementineport.RequestID
	Index                clementineport.IndexID
	Shard                clementineport.ShardID
	Snapshot             clementineport.Snapshot
	Text                 string
	Limit                int
	TimeLeftMilliseconds int64
	Idempotent           bool
}

// SearchResponse is the body of a successful response to a search call.
type SearchResponse struct {
	Request  clementineport.RequestID
	Shard    clementineport.ShardID
	Snapshot clementineport.Snapshot
	Hits     []clementineport.Hit
	Signals  clementineport.Signals
}

// Refusal is the body of a response that refuses a search call. The call did not run.
type Refusal struct {
	Request                clementineport.RequestID
	Shard                  clementineport.ShardID
	Fault                  clementineport.Fault
	Reason                 string
	RetryAfterMilliseconds int64
	Signals                clementineport.Signals
}

// refusalFaults are the faults that a target may name in a Refusal.
var refusalFaults = map[clementineport.Fault]bool{
	clementineport.FaultSnapshot: true,
	clementineport.FaultShed:     true,
	clementineport.FaultDraining: true,
	clementineport.FaultCold:     true,
	clementineport.FaultDeadline: true,
	clementineport.FaultInvalid:  true,
}

func newSearchRequest(c *clementineport.Call, left time.Duration) *SearchRequest {
	return &SearchRequest{
		Request:              c.Request,
		Index:                c.Index,
		Shard:                c.Shard,
		Snapshot:             c.Snapshot,
		Text:                 c.Text,
		Limit:                c.Limit,
		TimeLeftMilliseconds: max(left.Milliseconds(), 1),
		Idempotent:           c.Idempotent,
	}
}
