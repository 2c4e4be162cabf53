// Package cpquotas holds what coordinators of quotas and their clients share: the quotas, the bound that they keep to, and how
// workspaces are divided into groups.
package cpquotas

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineport/clementineport"
)

// Quotas are the limits of the workspaces that have one.
type Quotas map[clementineport.WorkspaceID]Quota

// Quota is the limit of a workspace for all VMs together. Burst is a number of requests.
type Quota struct {
	Rate  clementineport.RequestRate
	Burst float64
}

// QuotasOf returns the quotas of a version of the routes.
func QuotasOf(table *clementineport.RouteTable) Quotas {
	quotas := Quotas{}
	for i := range table.Workspaces {
		if w := &table.Workspaces[i]; w.Limited() {
			quotas[w.Name] = Quota{Rate: w.Rate, Burst: w.Burst}
		}
	}
	return quotas
}

// Bounds limit the requests of a workspace within any window, for all VMs together:
// (rate x Window + burst) x (1 + Overrun) + Slack. Overrun is a ratio and Slack a number of requests.
type Bounds struct {
	Window  time.Duration
	Overrun float64
	Slack   float64
}

// fillShare is the share of the rate that the bound allows to be granted. The rest covers clocks that differ in speed.
const fillShare = 0.98

// Fill returns the tokens a second that are made for each unit of weight. A token may be used for its lifetime after it was
// granted, so the tokens used within a window come from grants of a time that is longer by the lifetime.
func (o *Options) Fill(q Quota) float64 {
	window := o.Bounds.Window.Seconds()
	return float64(q.Rate) * fillShare * min(1, (1+o.Bounds.Overrun)*window/(window+o.Lifetime().Seconds()))
}

// Depth returns the number of tokens that a bucket holds for each unit of weight. Half of the slack is added to the burst,
// because callers that come at random times exceed a small burst although they stay below the rate.
func (o *Options) Depth(q Quota) float64 {
	return q.Burst*(1+o.Bounds.Overrun) + o.Bounds.Slack*depthShare
}

// Shares of the slack. What the reserve leaves covers fleets that are split, in which each part has a reserve.
const (
	depthShare   = 0.5
	reserveShare = 0.1
)

// ReserveVMs returns the number of VMs that hold a reserve token for a workspace.
func (b *Bounds) ReserveVMs() int { return int(b.Slack * reserveShare) }

// Lifetime returns how long after the call that requested it a token may be used.
func (o *Options) Lifetime() time.Duration { return min(o.TokenLifetime, o.Bounds.Window/lifetimePart) }

// lifetimePart is the least number of token lifetimes in a window.
const lifetimePart = 10

// vmsPerGroup is the number of further VMs for which the workspaces are divided into one more group, which spreads the calls of a
// large fleet over more coordinators.
const vmsPerGroup = 128

// GroupCount returns the number of groups of workspaces for a number of VMs.
func GroupCount(vms int) int { return 1 + vms/vmsPerGroup }

// groupFactor separates the number of groups from the index of a group in a group's number, so that VMs that divide the
// workspaces differently never mean the same group. It is above any number of groups: 4096 would need half a million VMs.
const groupFactor = 1 << 12

// GroupOf returns the number of the group of a workspace.
func GroupOf(workspace clementineport.WorkspaceID, count int) int {
	return count*groupFactor + int(xxhash.Sum64String(string(workspace))%uint64(count))
}

// SameDivision reports whether a group is one of a number of groups.
func SameDivision(group, count int) bool { return group/groupFactor == count }

// IsIn reports whether a workspace belongs to a group.
func IsIn(workspace clementineport.WorkspaceID, group int) bool {
	count := group / groupFactor
	return count > 0 && GroupOf(workspace, count) == group
}

// Whole returns the number of whole tokens. The margin keeps the sum of many small fills from falling short of a whole one.
func Whole(tokens float64) float64 { return math.Floor(tokens + 1e-9) }

// Earlier returns the earlier of two times.
func Earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
