package clementineport

import (
	"cmp"
	"context"
	"time"
)

// TargetInstance is one running instance of a target, as it registered itself.
type TargetInstance struct {
	// ID identifies this instance. Requests carry it, so that another process at the same address refuses them.
	ID      TargetID
	Service ServiceID
	Address string
	Domain  FailureDomain
	// Slots is the number of requests that the target processes concurrently.
	Slots    int
	Draining bool
	// ColdLeft is the remaining cold time at registration.
	ColdLeft time.Duration
	// Born is the start time that the target reports, in Unix milliseconds.
	Born int64
	// Seq counts the registrations of this instance.
	Seq     int64
	Version TargetVersion `json:",omitempty"`
}

// Run returns which run of the target this is.
func (d *TargetInstance) Run() TargetRun { return TargetRun{ID: d.ID, Born: d.Born} }

// TargetRun identifies one run of a target: a target that starts again may keep its ID.
type TargetRun struct {
	ID TargetID
	// Born is the start time that the target reports, in Unix milliseconds.
	Born int64
}

// RequestRate is a number of requests a second.
type RequestRate float64

// StatementSeq orders the statements on one subject: whoever makes one that differs from the latest that it knows takes a higher number.
// It is zero in statements from VMs of earlier builds.
type StatementSeq uint64

// Next returns the number of a statement that is made now by one who knows number s. It is not below the time in milliseconds, so that
// a statement also holds if whoever makes it does not know the latest one.
func (s StatementSeq) Next(now time.Time) StatementSeq {
	return max(s+1, StatementSeq(now.UnixMilli()))
}

// Compare compares the numbers of two statements on the same subject. Without both numbers it compares the times at which the statements
// were made, which are known only as exactly as the time that they have taken from VM to VM.
func (s StatementSeq) Compare(at time.Time, other StatementSeq, otherAt time.Time) int {
	if s != 0 && other != 0 {
		return cmp.Compare(s, other)
	}
	return at.Compare(otherAt)
}

// TargetLimit is what a run of a target has stated about the requests that it takes from all VMs together.
type TargetLimit struct {
	Run TargetRun
	// Limited is false once the target states no limit any more. Rate is then zero.
	Limited bool
	Rate    RequestRate
	// Age is the time since the target stated it.
	Age time.Duration
	Seq StatementSeq
}

// RequestReport states that a target has crashed while it ran a request, or that one has served it.
type RequestReport struct {
	Key RequestKey
	// Served is true if a target has served the request. Otherwise, Run is the run of a target that has crashed.
	Served bool
	Run    TargetRun
	// Age is the time since then.
	Age time.Duration
}

// VMReach is what a VM has stated about its network path to targets.
type VMReach struct {
	VM VMID
	// Lost is true while the VM reaches no target.
	Lost bool
	// Age is the time since the VM stated it.
	Age time.Duration
	Seq StatementSeq
}

// VMLoad is what a VM has stated about the requests of its callers.
type VMLoad struct {
	VM VMID
	// Rate is the rate of requests that arrived, and Refused that of requests that were refused in overload.
	Rate    RequestRate
	Refused RequestRate
	// Busy is the used share of the VM's processor, from 0 to 1.
	Busy float64
	// Age is the time since the VM stated it.
	Age time.Duration
}

// TargetNews is what VMs tell each other about targets and their paths to them, besides the contents of the store. It holds
// for any position of the store.
type TargetNews struct {
	// Leaving lists runs of targets that have stated that they are shutting down.
	Leaving []TargetRun `json:",omitempty"`
	// Limits lists what runs of targets have stated about the requests that they take.
	Limits []TargetLimit `json:",omitempty"`
	// Requests lists reports about requests during which targets have crashed.
	Requests []RequestReport `json:",omitempty"`
	// Reach lists what VMs have stated about their network path to targets.
	Reach []VMReach `json:",omitempty"`
	// Rollouts lists what VMs have seen of rollouts.
	Rollouts []RolloutReport `json:",omitempty"`
	// Loads lists what VMs have stated about the requests of their callers.
	Loads []VMLoad `json:",omitempty"`
}

// Any reports whether there is any news.
func (n *TargetNews) Any() bool {
	return len(n.Leaving)+len(n.Limits)+len(n.Requests)+len(n.Reach)+len(n.Rollouts)+len(n.Loads) > 0
}

// TargetNotice is what a target has asked of a VM in its responses.
type TargetNotice struct {
	// Leaving is true once the target has stated that it is shutting down; it then gets no further requests.
	Leaving bool
	// ClosedUntil is the time until which the target asked for no requests, or the zero time.
	ClosedUntil time.Time
}

// Closed reports whether the target must not get requests now.
func (n TargetNotice) Closed(now time.Time) bool { return n.Leaving || now.Before(n.ClosedUntil) }

// DomainStatus records whether operators have taken a failure domain out of service.
type DomainStatus struct {
	Domain FailureDomain
	Out    bool
}

// FleetUpdate is a change to the fleet's entries in the platform's store.
type FleetUpdate struct {
	// AsOf is the position in the store's history up to which the update is complete.
	AsOf StorePosition
	// Whole marks a full listing: anything that it does not name no longer exists.
	Whole bool
	// Partial is true if later changes are probably waiting, because the store limits the size of an answer.
	Partial bool `json:",omitempty"`
	// Age is the time since the update was last known to be complete.
	Age time.Duration
	// Routes is the newest version of the routes; it is nil if they have not changed.
	Routes  *RouteTable
	Domains []DomainStatus
	Targets []TargetInstance
	Gone    []TargetID
	VMs     []VM
	GoneVMs []VMID
	// Rollouts and RolloutStates are the orders to roll out a version and the stored states of rollouts. GoneRollouts and
	// GoneRolloutStates list the services whose order or state was removed.
	Rollouts          []RolloutOrder  `json:",omitempty"`
	GoneRollouts      []ServiceID     `json:",omitempty"`
	RolloutStates     []RolloutStatus `json:",omitempty"`
	GoneRolloutStates []ServiceID     `json:",omitempty"`
	// TargetNews is only in updates from other VMs.
	TargetNews
	// Faults lists entries that could not be decoded, so that no target is known for them.
	Faults []string
}

// HasChanges reports whether the update contains any change.
func (u *FleetUpdate) HasChanges() bool {
	return u.Whole || u.Routes != nil || len(u.Domains)+len(u.Targets)+len(u.Gone)+len(u.VMs)+len(u.GoneVMs)+len(u.Faults) > 0 ||
		len(u.Rollouts)+len(u.GoneRollouts)+len(u.RolloutStates)+len(u.GoneRolloutStates) > 0
}

// OpaqueTarget sends requests to one target without interpreting them.
type OpaqueTarget interface {
	// Do sends the request once. Its error is an *Error whose verdict states whether the request may have run.
	Do(ctx context.Context, r *OpaqueRequest) (*OpaqueResponse, error)
	// Notice returns what the target has asked of this VM so far.
	Notice() TargetNotice
	// Resize sets the maximum number of open connections, and closes idle ones that have expired.
	Resize(connections int)
	// SetLimit sets the rate limit that this VM knows, so that a response that states another one, or none, is
	// reported.
	SetLimit(limited bool, rate RequestRate)
	// Connect opens a new connection, which is kept for the next request. Its error is an *Error with FaultUnsent if this VM
	// may open no more of them.
	Connect(ctx context.Context) error
	// Refuses reports whether the target refuses connections. It opens one for that if none is open.
	Refuses(ctx context.Context) bool
	// Open returns the number of open connections and the total number opened so far.
	Open() (open int, opened uint64)
	Close()
}

// FleetSource provides the state of the fleet and its updates.
type FleetSource interface {
	// Load returns the full state.
	Load(ctx context.Context) (*FleetUpdate, error)
	// Next returns the changes after a revision, blocking for at most wait until there are any.
	// A FaultHistory error means that the changes are no longer kept, or that the store was restored since, and the caller
	// must use Load.
	Next(ctx context.Context, after StorePosition, wait time.Duration) (*FleetUpdate, error)
}

// Registrar publishes a VM to the other VMs.
type Registrar interface {
	// Register publishes the VM until its lease expires.
	Register(ctx context.Context, vm VM) error
	// Renew extends the lease; a FaultNotFound error means that the lease has expired or was lost in a restore of the
	// store.
	Renew(ctx context.Context) error
	// Deregister ends the lease immediately.
	Deregister(ctx context.Context) error
}
