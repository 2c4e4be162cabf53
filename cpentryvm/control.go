package cpentryvm

import (
	"google.golang.org/protobuf/proto"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpconnshare"
	"github.com/clementineport/clementineport/cpcontrol"
	"github.com/clementineport/clementineport/cpentrylist"
	"github.com/clementineport/clementineport/cpestate"
	"github.com/clementineport/clementineport/cppeer/cpmessage"
	"github.com/clementineport/clementineport/cppick"
	"github.com/clementineport/clementineport/cpview"
)

func (n *Node) newControl() {
	n.control = cpcontrol.New(
		cpcontrol.WithSelf(clementineport.Member{VM: n.self, Start: n.start, Ticket: n.atMostOnce.Ticket(n.clock.Now())}),
		cpcontrol.WithStore(n.store),
		cpcontrol.WithDirectory(n.directory),
		cpcontrol.WithSeeds(n.settings.Peers...),
		cpcontrol.WithDial(n.dialPeer),
		cpcontrol.WithPicker(cppick.New(cppick.Seed(n.seed))),
		cpcontrol.WithClock(n.clock),
		cpcontrol.WithSeed(n.seed),
		cpcontrol.WithDecode(cpestate.DecodeConfig),
		cpcontrol.WithCompile(cpestate.CompileConfig),
		cpcontrol.WithOnView(n.onView),
		cpcontrol.WithMetrics(n.metrics),
		cpcontrol.WithLog(n.log),
		cpcontrol.WithEntryList(cpentrylist.WithTTL(n.settings.Shutdown.AdviceLife)),
		cpcontrol.WithSize(func(d *clementineport.Digest) int { return proto.Size(cpmessage.EncodeDigest(d)) }),
	)
}

// onView passes a new view to the components that keep state per target or VM.
func (n *Node) onView(v *cpview.View) {
	n.peers.Retain(v.Members)
	n.drain.setOutOfService(v.SelfOutOfService())
	if v.Table == nil {
		return
	}
	n.pool.Update(v.Table, func(t clementineport.TargetIndex) int { return connectionShare(v, t) })
	n.limiter.Update(v.Table, func(id clementineport.TargetID) bool {
		return connectionShare(v, v.Table.ByID[id]) > 0
	})
	if n.baseline != nil {
		n.baseline.update(v)
	}
}

// connectionShare returns how many connections this VM may open to a target.
func connectionShare(v *cpview.View, t clementineport.TargetIndex) int {
	return cpconnshare.Connections(v.Table.Targets[t].Group.Connections, role(v, t))
}

// role returns the role of this VM for a target.
func role(v *cpview.View, t clementineport.TargetIndex) cpconnshare.Role {
	if owner := v.Owner(t); owner != nil && owner.ID == v.Self {
		return cpconnshare.Owner
	}
	if standby := v.StandbyOwner(t); standby != nil && standby.ID == v.Self {
		return cpconnshare.Standby
	}
	return cpconnshare.Other
}
