package cpplatformvm

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cpreach"
)

// pathStatus is the path of the status on the metrics listener.
const pathStatus = "/status"

// Status is the fleet as this VM sees it.
type Status struct {
	VM    clementineport.VMID
	Start clementineport.StartID
	// Store is the position in the store that the view is from, and ViewAge the time since the view was last complete.
	Store   clementineport.StorePosition
	ViewAge string
	// RoutesVersion is zero before routes are known.
	RoutesVersion clementineport.Revision
	Ready         bool
	// Isolated is true if the view is too old to act on and no other VM answers.
	Isolated bool
	// TargetsLost is true while this VM reaches no target.
	TargetsLost bool
	InFlight    int
	// DividedBy is the number of VMs by which bounds for all VMs together are divided, and Sending the number of those that
	// send requests to targets.
	DividedBy int
	Sending   int
	VMs       []VMStatus
	Services  []cpfleetstate.Totals
	// Rollouts are the rollouts under way and those that have ended, sorted by service.
	Rollouts []RolloutStatus `json:",omitempty"`
}

// RolloutStatus is the rollout of a service.
type RolloutStatus struct {
	Service clementineport.ServiceID
	Version clementineport.TargetVersion
	Phase   clementineport.RolloutPhase
	Share   float64
	Driver  clementineport.VMID
	Reason  string
	// Elapsed is the time since the order, as in "1m2.5s". It is empty once the rollout has ended.
	Elapsed string `json:",omitempty"`
}

// VMStatus is the state of one VM.
type VMStatus struct {
	ID      clementineport.VMID
	Domain  clementineport.FailureDomain
	State   clementineport.MemberState
	Leaving bool
	// TargetsLost is true if the VM states that it reaches no target.
	TargetsLost bool
	// Active is true if the VM is in the active set. It is false for all VMs if there is none.
	Active bool
}

// status returns the current status.
func (p *Process) status() *Status {
	view := p.watcher.View()
	s := &Status{
		VM: p.self.ID, Start: p.self.Start, Store: view.AsOf, ViewAge: p.watcher.Age().Round(time.Millisecond).String(),
		Ready: p.ready(), Isolated: p.watcher.Isolated(), TargetsLost: p.reach.State() == cpreach.Lost, InFlight: p.requests.InFlight(),
		DividedBy: view.VMs, Sending: view.Sending, Services: view.Totals(p.clock.Now()),
	}
	if view.Router != nil {
		s.RoutesVersion = view.Router.Table().Version
	}
	for i := range view.Members {
		m := &view.Members[i]
		s.VMs = append(s.VMs, VMStatus{
			ID: m.ID, Domain: m.Domain, State: m.State, Leaving: m.Leaving, TargetsLost: view.Lost[m.ID], Active: view.Active.Has(m.ID),
		})
	}
	s.Rollouts = p.rolloutStatuses(view)
	return s
}

// rolloutStatuses returns the rollouts of a view, sorted by service.
func (p *Process) rolloutStatuses(view *cpfleetstate.View) []RolloutStatus {
	var all []RolloutStatus
	for service, r := range view.Rollouts {
		status := RolloutStatus{
			Service: service, Version: r.Version, Phase: r.Phase, Share: r.Share, Driver: r.Stored.Driver, Reason: r.Stored.Reason,
		}
		if r.Active() {
			status.Elapsed = p.clock.Now().Sub(r.OrderedAt).Round(time.Millisecond).String()
		}
		all = append(all, status)
	}
	slices.SortFunc(all, func(a, b RolloutStatus) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// statusHandler serves the status as JSON.
func (p *Process) statusHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// Encode fails only if the client has gone.
		_ = json.NewEncoder(w).Encode(p.status())
	})
}
