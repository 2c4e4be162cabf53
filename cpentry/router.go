package cpentry

import (
	"sync"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpadvice"
	"github.com/clementineport/clementineport/cprelay"
	"github.com/clementineport/clementineport/cpview"
)

// router finds the VM that owns a target in the newest view, so that a query in progress follows a move.
type router struct {
	control Control
	peers   *Peers
}

// Route implements cprelay.Router.
func (r *router) Route(t clementineport.TargetID, deputy bool) (cprelay.Route, bool) {
	view := r.control.View()
	i, ok := view.Table.ByID[t]
	if !ok {
		return cprelay.Route{}, false
	}
	member := view.Owner(i)
	if deputy {
		member = view.Deputy(i)
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

// Peers keeps one connection to each other VM.
type Peers struct {
	dial  func(clementineport.VM) clementineport.Peer
	mu    sync.RWMutex
	peers map[clementineport.VMID]dialed
}

type dialed struct {
	address string
	peer    clementineport.Peer
}

// NewPeers returns Peers that dial a VM when it is first needed.
func NewPeers(dial func(clementineport.VM) clementineport.Peer) *Peers {
	return &Peers{dial: dial, peers: make(map[clementineport.VMID]dialed)}
}

// Get returns the peer for a VM.
func (p *Peers) Get(vm clementineport.VM) clementineport.Peer {
	p.mu.RLock()
	known, ok := p.peers[vm.ID]
	p.mu.RUnlock()
	if ok && known.address == vm.Peer {
		return known.peer
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok = p.peers[vm.ID]; ok && known.address == vm.Peer {
		return known.peer
	}
	if ok {
		_ = known.peer.Close()
	}
	peer := p.dial(vm)
	p.peers[vm.ID] = dialed{address: vm.Peer, peer: peer}
	return peer
}

// Keep closes the connections to VMs that are not among the members.
func (p *Peers) Keep(members []clementineport.Member) {
	known := make(map[clementineport.VMID]bool, len(members))
	for i := range members {
		known[members[i].ID] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, d := range p.peers {
		if !known[id] {
			_ = d.peer.Close()
			delete(p.peers, id)
		}
	}
}

func advise(view *cpview.View, caller string, domain clementineport.FailureDomain, now time.Time) cpadvice.Advice {
	return view.Adviser.Advise(cpadvice.Caller{Address: caller, Domain: domain}, now)
}
