package cppeerconns

import (
	"sync"

	"github.com/clementineport/clementineport"
)

// Shared keeps one connection to each other VM. It is safe for concurrent use.
type Shared struct {
	dial  func(clementineport.VM) clementineport.Peer
	mu    sync.RWMutex
	peers map[clementineport.VMID]connection
}

type connection struct {
	address string
	peer    clementineport.Peer
}

// NewShared returns a Shared that dials a VM on the first call of Get for it.
func NewShared(dial func(clementineport.VM) clementineport.Peer) *Shared {
	return &Shared{dial: dial, peers: make(map[clementineport.VMID]connection)}
}

// Get returns the peer of a VM. It dials a VM that has no connection or whose address has changed.
func (p *Shared) Get(vm clementineport.VM) clementineport.Peer {
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
	p.peers[vm.ID] = connection{address: vm.Peer, peer: peer}
	return peer
}

// Retain closes the connections to VMs that are not among members.
func (p *Shared) Retain(members []clementineport.Member) {
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
