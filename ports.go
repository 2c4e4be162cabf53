package clementineport

import (
	"context"
	"fmt"
	"time"
)

// Clock provides the current time and timers.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Target is the client of one target.
type Target interface {
	// Search runs one call. Its error is an *Error whose fault states whether the call may have run.
	Search(ctx context.Context, call *Call) (*Reply, error)
	// Status queries the health endpoint, whose answer may be late or wrong.
	Status(ctx context.Context) (Signals, error)
	Close() error
}

// Item is a stored value and its version; version zero means that the key does not exist.
type Item struct {
	Value   []byte
	Version uint64
}

// Lease is a lease on a key. A holder that was paused may still consider an expired lease valid.
type Lease struct {
	Holder  string
	Expires time.Time
}

// Store is the client of the platform's key-value store.
type Store interface {
	Get(ctx context.Context, key string) (Item, error)
	// CompareAndSwap writes the value if the key is at the expected version and returns the new version.
	// After FaultConflict the value was not written; after FaultReset or FaultTimeout it may have been.
	CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error)
	// Watch returns the item as soon as its version differs from seen, or unchanged after wait.
	Watch(ctx context.Context, key string, seen uint64, wait time.Duration) (Item, error)
	// Acquire obtains or renews a lease.
	Acquire(ctx context.Context, key, holder string, ttl time.Duration) (Lease, error)
}

// VM is an entry VM as listed by the platform or described by a peer.
type VM struct {
	ID       VMID
	Domain   FailureDomain
	Caller   string
	Peer     string
	Operator string
	Leaving  bool
	Capacity VMCapacity `json:",omitzero"`
}

// VMCapacity is what a VM can do. It is zero if it is not known.
type VMCapacity struct {
	// Cores is the processor time that the VM may use, in seconds a second.
	Cores float64
	// LinkMbps is the bandwidth of its network link, in megabits a second.
	LinkMbps float64
}

// Directory is the platform's list of live and leaving VMs, which is updated with a delay.
type Directory interface {
	List(ctx context.Context) ([]VM, error)
}

// MemberState is the state that a VM assumes for another VM.
type MemberState uint8

const (
	// MemberAlive means that the VM is responsive.
	MemberAlive MemberState = iota
	// MemberSuspect means that the VM is unresponsive and may be dead.
	MemberSuspect
	// MemberDead means that the VM is assumed to have failed.
	MemberDead
	// MemberLeaving means that the VM is shutting down and accepts no new work.
	MemberLeaving
)

var memberStateNames = [...]string{"alive", "suspect", "dead", "leaving"}

// String returns the state as it is shown to operators.
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

// Member is one VM in another VM's view of the membership.
type Member struct {
	VM
	Start       StartID
	State       MemberState
	Incarnation uint64
	Revision    Revision
	// Ticket is the prefix of the non-idempotent request ids that this process currently accepts.
	Ticket string
}

// Digest is the state that two VMs send each other in one gossip exchange.
type Digest struct {
	From     Member
	Revision Revision
	// Staleness is the time since the sender last confirmed that its revision was the newest accepted one.
	Staleness time.Duration
	Members   []Member
	// TargetNews is what VMs have recently learned from targets.
	TargetNews
}

// RelayRequest asks the VM that owns some targets to send calls to them.
type RelayRequest struct {
	From     VMID
	Revision Revision
	Calls    []Call
}

// Peer is the client of another entry VM.
type Peer interface {
	// Relay sends the calls through the peer and delivers each result when it arrives.
	// Calls that have no result when Relay returns have failed with its error.
	Relay(ctx context.Context, r *RelayRequest, deliver func(CallResult)) error
	// Exchange sends a digest and returns that of the peer.
	Exchange(ctx context.Context, d *Digest) (*Digest, error)
	// Config returns the peer's configuration if it is newer than have, and nil otherwise.
	Config(ctx context.Context, have StorePosition) (*Config, error)
	// Forward sends a non-idempotent query to the only process that may run it.
	Forward(ctx context.Context, q *Query) (*Answer, error)
	// Reroute has the peer run an opaque request. Its error means that no result came from the peer; the verdict says
	// whether the request may have run.
	Reroute(ctx context.Context, r *ReroutedRequest) (*ReroutedResult, error)
	// Quota asks the peer, as the coordinator of a group of workspaces, for tokens of their quotas.
	Quota(ctx context.Context, r *QuotaRequest) (*QuotaAnswer, error)
	Close() error
}
