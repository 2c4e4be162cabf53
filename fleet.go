package clementineport

import (
	"context"
	"time"
)

// TargetInstance is one start of a target that registered itself.
type TargetInstance struct {
	// ID names this start of the target; a request names it, so that another process at the address refuses.
	ID      TargetID
	Service ServiceID
	Address string
	Domain  FailureDomain
	// Slots is the number of requests that the target works on at once.
	Slots    int
	Draining bool
	// ColdLeft is how long the target was to stay cold when it registered.
	ColdLeft time.Duration
	// Born is when the target started, as it says itself, in Unix milliseconds.
	Born int64
	// Seq counts the registrations of one start.
	Seq int64
}

// DomainStatus says whether operators have taken a failure domain out of service.
type DomainStatus struct {
	Domain FailureDomain
	Out    bool
}

// FleetUpdate is a change of what the platform's store holds for the fleet.
type FleetUpdate struct {
	// AsOf is the revision of the store up to which the news is complete.
	AsOf Revision
	// Whole means that the news holds everything, and that what it does not name is gone.
	Whole bool
	// Age is how long ago the news was known to be complete.
	Age time.Duration
	// Routes is the newest version of the routes, or nil.
	Routes  *RouteTable
	Domains []DomainStatus
	Targets []TargetInstance
	Gone    []TargetID
	VMs     []VM
	GoneVMs []VMID
	// Faults names entries that could not be read; they name no target.
	Faults []string
}

// HasChanges reports whether the news tells anything but that nothing has changed.
func (n *FleetUpdate) HasChanges() bool {
	return n.Whole || n.Routes != nil || len(n.Domains)+len(n.Targets)+len(n.Gone)+len(n.VMs)+len(n.GoneVMs)+len(n.Faults) > 0
}

// OpaqueTarget is the port to one target for requests that are passed on unchanged.
type OpaqueTarget interface {
	// Do sends the request once; the error is an *Error whose verdict says whether it may have run.
	Do(ctx context.Context, f *OpaqueRequest) (*OpaqueResponse, error)
	// Resize sets the most connections that may be open.
	Resize(connections int)
	// Open returns the number of open connections and how many were opened in all.
	Open() (open int, opened uint64)
	Close()
}

// FleetSource is the port to where the news of the fleet comes from.
type FleetSource interface {
	// Load returns everything.
	Load(ctx context.Context) (*FleetUpdate, error)
	// Next returns what changed after a revision, at the latest after wait.
	// A FaultHistory error means that the changes are no longer kept, and that Load is needed.
	Next(ctx context.Context, after Revision, wait time.Duration) (*FleetUpdate, error)
}

// Registrar is the port through which a VM makes itself known to the others.
type Registrar interface {
	// Register publishes the VM until its lease runs out.
	Register(ctx context.Context, vm VM) error
	// Renew extends the lease; a FaultNotFound error means that it has ended.
	Renew(ctx context.Context) error
	// Deregister ends the lease.
	Deregister(ctx context.Context) error
}
