// Package cpfleetstate defines one VM's view of the fleet at one time: the routes, the eligible targets and the other
// VMs.
package cpfleetstate

import (
	"slices"
	"strings"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpactiveset"
	"github.com/clementineport/clementineport/cpbalancer"
	"github.com/clementineport/clementineport/cpcrash"
	"github.com/clementineport/clementineport/cpquota"
	"github.com/clementineport/clementineport/cprollout"
	"github.com/clementineport/clementineport/cproute"
)

// Target is a target that may be called.
type Target struct {
	State  *cpbalancer.Target
	Client clementineport.OpaqueTarget
	// WarmAt is when the cold start of the target ends.
	WarmAt time.Time
	// Owned is true if this VM is the one that calls the target while it is cold.
	Owned bool
	// OwnedFrom is when this VM may begin to call the target while it is cold, if it owns it.
	OwnedFrom time.Time
	// SameDomain is true if the target is in the failure domain of this VM.
	SameDomain bool
	// Limited is true while the target states how many requests a second it takes from all VMs together, which is Limit.
	Limited bool
	Limit   clementineport.RequestRate
	// InFlightLimit is the number of requests that this VM may have in flight to the target.
	InFlightLimit int
}

// Cold reports whether the target must be treated as cold.
func (t *Target) Cold(now time.Time) bool { return now.Before(t.WarmAt) }

// View is one VM's view of the fleet. It is immutable.
type View struct {
	// Router is nil until routes have been received.
	Router *cproute.Router
	// Services holds the targets of each service that may be called.
	Services map[clementineport.ServiceID][]Target
	Members  []clementineport.Member
	// Presumed holds the members and, for some time after the start of this VM, those that the store lists and nobody has reached
	// yet. What this VM may take for its own follows from them.
	Presumed []clementineport.Member
	// Self is the ID of this VM.
	Self clementineport.VMID
	// VMs is the number of VMs by which bounds for all VMs together are divided.
	VMs int
	// Sending is the number of these VMs that send requests to targets: all but those that reach none. The load of targets is
	// estimated with it.
	Sending int
	// Registered is the number of VMs that the store lists, reached or not.
	Registered int
	// AsOf is the position in the store that the view is from.
	AsOf clementineport.StorePosition
	// Leaving is the number of registered targets that have stated that they are shutting down.
	Leaving int
	// Suspects holds the requests during which targets have crashed.
	Suspects map[clementineport.RequestKey]cpcrash.Suspect
	// Lost holds the VMs that state that they reach no target.
	Lost map[clementineport.VMID]bool
	// Listed is true while the store lists this VM.
	Listed bool
	// Active is the active set of VMs, or nil if callers use all VMs.
	Active *cpactiveset.Set
	// Rollouts holds the rollouts, under way and ended. Services omits the targets whose use a
	// rollout has ended.
	Rollouts map[clementineport.ServiceID]*cprollout.Rollout
	// ActiveShare is this VM's share of bounds that apply to all VMs together, if its Set is true; otherwise all share equally.
	ActiveShare cpquota.Share
}

// Senders returns the number of VMs that may send requests to targets, whether this VM has reached them or not.
func (v *View) Senders() int { return max(v.VMs, v.Registered) }

// RolloutVersion returns the version of a target of a service with a rollout, or an empty one for all others.
func (v *View) RolloutVersion(id clementineport.TargetID) clementineport.TargetVersion {
	for service := range v.Rollouts {
		for i := range v.Services[service] {
			if t := v.Services[service][i].State; t.ID == id {
				return t.Version
			}
		}
	}
	return ""
}

// Share returns this VM's share of bounds that apply to all VMs together.
func (v *View) Share() cpquota.Share {
	if v.ActiveShare.Set {
		return v.ActiveShare
	}
	return cpquota.Equal(v.Senders())
}

// BlockedRequests returns the number of requests that are not sent to targets because they crash them.
func (v *View) BlockedRequests() (n int) {
	for _, s := range v.Suspects {
		if s.Blocked() {
			n++
		}
	}
	return n
}

// Totals holds the totals of the targets of one service.
type Totals struct {
	Service clementineport.ServiceID
	Targets int
	Cold    int
	// Closed is the number of targets that have asked this VM for no requests.
	Closed int
	// Limited is the number of targets that state a rate limit.
	Limited  int
	InFlight int
	// Open is the number of open connections, and Opened the total number opened to the current targets.
	Open   int
	Opened uint64
}

// Totals returns the totals of each service, sorted by service.
func (v *View) Totals(now time.Time) []Totals {
	all := make([]Totals, 0, len(v.Services))
	for service, targets := range v.Services {
		t := Totals{Service: service, Targets: len(targets)}
		for i := range targets {
			if targets[i].Cold(now) {
				t.Cold++
			}
			if targets[i].Client.Notice().Closed(now) {
				t.Closed++
			}
			if targets[i].Limited {
				t.Limited++
			}
			t.InFlight += targets[i].State.InFlight()
			open, opened := targets[i].Client.Open()
			t.Open += open
			t.Opened += opened
		}
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b Totals) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return all
}

// ServingVMs returns the VMs that accept callers: those that are alive, not leaving and have a caller address. It leaves out
// VMs that reach no target, unless that is so for all.
func (v *View) ServingVMs() []clementineport.Member {
	var serving, lost []clementineport.Member
	for _, m := range v.Members {
		switch {
		case m.State != clementineport.MemberAlive || m.Leaving || m.Caller == "":
		case v.Lost[m.ID]:
			lost = append(lost, m)
		default:
			serving = append(serving, m)
		}
	}
	if len(serving) == 0 {
		return lost
	}
	return serving
}

// NamedVMs returns the VMs for one answer of the directory: the serving VMs of the active set, or all if there is none. random
// returns numbers in [0, 1).
func (v *View) NamedVMs(random func() float64) []clementineport.Member {
	serving := v.ServingVMs()
	if v.Active == nil {
		return serving
	}
	var named []clementineport.Member
	for i := range serving {
		if v.Active.Named(serving[i].ID, random()) {
			named = append(named, serving[i])
		}
	}
	if len(named) == 0 {
		return serving
	}
	return named
}
