// Package cpfleetstate holds what one VM knows of the fleet at one moment: the routes, the targets that may be asked, and
// the other VMs.
package cpfleetstate

import (
	"slices"
	"strings"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpbalancer"
	"github.com/clementineport/clementineport/cproute"
)

// Target is a target that may be asked.
type Target struct {
	State  *cpbalancer.Target
	Client clementineport.OpaqueTarget
	// WarmAt is when the target is warm.
	WarmAt time.Time
	// Owned is true when this VM is the one that asks the target while it is cold.
	Owned      bool
	SameDomain bool
	// InFlightLimit is the number of requests that this VM may have on their way to the target.
	InFlightLimit int
}

// Cold reports whether the target must be treated as cold.
func (t *Target) Cold(now time.Time) bool { return now.Before(t.WarmAt) }

// View is what a VM knows at one moment; it is immutable.
type View struct {
	// Router is nil until routes are known.
	Router *cproute.Router
	// Services lists the targets that may be asked now.
	Services map[clementineport.ServiceID][]Target
	Members  []clementineport.Member
	// VMs is the number of VMs that bounds for all VMs are divided by.
	VMs int
	// Listed is true while the store lists this VM.
	Listed bool
}

// Totals is what a view shows of the targets of one service.
type Totals struct {
	Service  clementineport.ServiceID
	Targets  int
	Cold     int
	InFlight int
	// Open is the number of connections, and Opened how many were opened to the present targets in all.
	Open   int
	Opened uint64
}

// Totals returns what the view shows of each service.
func (v *View) Totals(now time.Time) []Totals {
	all := make([]Totals, 0, len(v.Services))
	for service, targets := range v.Services {
		t := Totals{Service: service, Targets: len(targets)}
		for i := range targets {
			if targets[i].Cold(now) {
				t.Cold++
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

// ServingVMs returns the addresses that callers may use, of the VMs that are alive and not leaving.
func (v *View) ServingVMs() []clementineport.Member {
	var alive []clementineport.Member
	for _, m := range v.Members {
		if m.State == clementineport.MemberAlive && !m.Leaving && m.Caller != "" {
			alive = append(alive, m)
		}
	}
	return alive
}
