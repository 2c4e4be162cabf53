package clementineport

import (
	"context"
	"fmt"
	"time"
)

// Clock tells and waits for the time.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Target is the port to one target.
type Target interface {
	// Search runs one call; the error is an *Error whose fault says whether it may have run.
	Search(ctx context.Context, call *Call) (*Reply, error)
	// Status asks the health endpoint, which may lag or mislead.
	Status(ctx context.Context) (Signals, error)
	Close() error
}

// Item is a stored value and its version; version zero means that the key is absent.
type Item struct {
	Value   []byte
	Version uint64
}

// Lease is a lease on a key; its holder may be paused and still believe in it.
type Lease struct {
	Holder  string
	Expires time.Time
}

// Store is the port to the platform's key-value service.
type Store interface {
	Get(ctx context.Context, key string) (Item, error)
	// CompareAndSwap writes the value if the key is at the expected version.
	// A FaultConflict error means that it was not written; FaultReset and FaultTimeout that it may have been.
	CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error)
	// Watch returns as soon as the key's version differs from seen, or with the item unchanged after wait.
	Watch(ctx context.Context, key string, seen uint64, wait time.Duration) (Item, error)
	// Acquire takes or renews a lease.
	Acquire(ctx context.Context, key, holder string, ttl time.Duration) (Lease, error)
}

// VM is an entry VM as the platform's list or a peer describes it.
type VM struct {
	ID       VMID
	Domain   FailureDomain
	Caller   string
	Peer     string
	Operator string
	Leaving  bool
}

// Directory is the port to the platform's list of live and leaving VMs, which lags.
type Directory interface {
	List(ctx context.Context) ([]VM, error)
}

// MemberState is what a node believes about another node.
type MemberState uint8

const (
	// MemberAlive means that the VM answers.
	MemberAlive MemberState = iota
	// MemberSuspect means that the VM has stopped answering and may be dead.
	MemberSuspect
	// MemberDead means that the VM is treated as gone.
	MemberDead
	// MemberLeaving means that the VM is shutting down and takes no new work.
	MemberLeaving
)

var memberStateNames = [...]string{"alive", "suspect", "dead", "leaving"}

// String returns the state as operators see it.
func (s MemberState) String() string {
	if int(s) >= len(memberStateNames) {
		return "unknown"
	}
	return memberStateNames[s]
}

// MarshalText implements encoding.TextMarshaler.
func (s MemberState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *MemberState) UnmarshalText(text []byte) error {
	for i, name := range memberStateNames {
		if name == string(text) {
			*s = MemberState(i)
			return nil
		}
	}
	return fmt.Errorf("unknown member state %q", text)
}

// Member is one VM in a node's view of the membership.
type Member struct {
	VM
	Start       StartID
	State       MemberState
	Incarnation uint64
	Revision    Revision
	// Ticket is the prefix of non-idempotent request ids that this process may run now.
	Ticket string
}

// Digest is what two nodes tell each other in one exchange.
type Digest struct {
	From     Member
	Revision Revision
	// Staleness is how long ago the sender last knew that its revision was the newest accepted.
	Staleness time.Duration
	Members   []Member
}

// RelayRequest asks the owner of some targets to make calls to them.
type RelayRequest struct {
	From     VMID
	Revision Revision
	Calls    []Call
}

// Peer is the port to another entry VM.
type Peer interface {
	// Relay makes the calls through the peer and delivers each result as it comes;
	// calls without a result when Relay returns have the fault of its error.
	Relay(ctx context.Context, r *RelayRequest, deliver func(CallResult)) error
	// Exchange swaps digests.
	Exchange(ctx context.Context, d *Digest) (*Digest, error)
	// Config returns the peer's configuration if it is newer than have, or nil.
	Config(ctx context.Context, have Revision) (*Config, error)
	// Forward hands a non-idempotent query to the only process that may run it.
	Forward(ctx context.Context, q *Query) (*Answer, error)
	Close() error
}
