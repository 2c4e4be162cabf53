package clementineport

import (
	"fmt"
	"time"
)

// Query is one request of a caller.
type Query struct {
	Request    RequestID
	Service    ServiceID
	Text       string
	Limit      int
	Deadline   time.Time
	Idempotent bool
	Policy     string
}

// Hit is one search result.
type Hit struct {
	Record string
	Score  float64
	Fields string `json:",omitempty"`
}

// ShardState is the outcome of a shard in an answer.
type ShardState uint8

const (
	// ShardLate means that no reply had arrived when the answer was closed.
	ShardLate ShardState = iota
	// ShardCovered means that the shard's hits are merged.
	ShardCovered
	// ShardEmpty means that the shard replied without hits; it counts as covered.
	ShardEmpty
	// ShardFailed means that every attempt on the shard failed.
	ShardFailed
	// ShardCut means that the reply of the shard was truncated.
	ShardCut
	// ShardUnplanned means that no usable target holds the shard in the snapshot.
	ShardUnplanned
)

var shardStateNames = [...]string{"late", "covered", "empty", "failed", "cut", "unplanned"}

// String returns the name of the state in the caller API.
func (s ShardState) String() string { return shardStateNames[s] }

// MarshalText implements encoding.TextMarshaler.
func (s ShardState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *ShardState) UnmarshalText(text []byte) error {
	for i, name := range shardStateNames {
		if name == string(text) {
			*s = ShardState(i)
			return nil
		}
	}
	return fmt.Errorf("unknown shard state %q", text)
}

// Covered reports whether the shard counts as covered.
func (s ShardState) Covered() bool { return s == ShardCovered || s == ShardEmpty }

// MissingShard is a shard that an answer does not cover, with the reason.
type MissingShard struct {
	Shard ShardID
	State ShardState
	Fault Fault
}

// Answer is the response to one query of a caller.
type Answer struct {
	Request  RequestID
	Snapshot Snapshot
	Hits     []Hit
	Shards   int
	Covered  []ShardID
	Missing  []MissingShard
	Complete bool
	Verdict  Verdict
	Stats    GatherStats
}

// GatherStats counts the calls made for one query.
type GatherStats struct {
	Calls   int
	Hedges  int
	Retries int
	// Resends counts calls sent again after a refusal that proved that the earlier call had not run.
	Resends  int
	Restarts int
	Late     int
	// Queued is the time that the call of the last covered shard spent outside its target.
	Queued time.Duration `json:"-"`
}

// Call is one search of one shard on one target.
type Call struct {
	Request    RequestID
	Attempt    AttemptID
	Service    ServiceID
	Class      Class
	Index      IndexID
	Shard      ShardID
	Target     TargetID
	Snapshot   Snapshot
	Text       string
	Limit      int
	Deadline   time.Time
	Idempotent bool
}

// Signals is the state that a target reports in every response.
type Signals struct {
	Start    StartID
	InFlight int
	Held     []Snapshot
	Draining bool
	Cold     bool
}

// Reply is the complete response of a target to a call.
type Reply struct {
	Request  RequestID
	Shard    ShardID
	Snapshot Snapshot
	Hits     []Hit
	Signals  Signals
}

// CallResult is the outcome of one call, as delivered to its query.
type CallResult struct {
	Attempt AttemptID
	Shard   ShardID
	Target  TargetID
	Reply   *Reply
	Err     error
	// RelayFailed is true when the call failed between VMs, which implies nothing about the target.
	RelayFailed bool
	// Signals is set for replies and for refusals that come from the target.
	Signals Signals
	// Load is the number of calls in flight and queued for the target at its owner.
	Load int
	// Elapsed is the time that the call took at the target, excluding the queue of the owner.
	Elapsed time.Duration
}
