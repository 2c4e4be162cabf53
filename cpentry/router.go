package cpentry

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpentrylist"
	"github.com/clementineport/clementineport/cppeerconns"
	"github.com/clementineport/clementineport/cprelay"
	"github.com/clementineport/clementineport/cpview"
)

// router looks up the owner of a target in the newest view, so that a query in progress follows changes of owner.
type router struct {
	control Control
	peers   *cppeerconns.Shared
}

// Route implements cprelay.Router.
func (r *router) Route(t clementineport.TargetID, standby bool) (cprelay.Route, bool) {
	view := r.control.View()
	i, ok := view.Table.ByID[t]
	if !ok {
		return cprelay.Route{}, false
	}
	member := view.Owner(i)
	if standby {
		member = view.StandbyOwner(i)
	}
	if member == nil {
		return cprelay.Route{}, false
	}
	return cprelay.Route{VM: member.ID, Self: member.ID == view.Self}, true
}

// Peer implements cprelay.Router.
func (r *router) Peer(vm clementineport.VMID) clementineport.Peer {
	member := r.control.View().Member(vm)
	if member == nil {
		return nil
	}
	return r.peers.Get(member.VM)
}

// Revision implements cprelay.Router.
func (r *router) Revision() clementineport.Revision { return r.control.View().Revision }

func selectEntries(view *cpview.View, caller string, domain clementineport.FailureDomain, now time.Time) cpentrylist.List {
	return view.EntryList.Select(cpentrylist.Caller{Address: caller, Domain: domain}, now)
}
