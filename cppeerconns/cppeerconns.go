// Package cppeerconns keeps the connections to other VMs, for a control loop (Peers) and for queries (Shared). It
// makes no calls.
package cppeerconns

import (
	"time"

	"github.com/clementineport/clementineport"
)

// idleTimeout is how long a peer is kept open without a call.
const idleTimeout = 5 * time.Minute

// Peers keeps the connections to other VMs for a single goroutine.
type Peers struct {
	dial  func(clementineport.VM) clementineport.Peer
	peers map[clementineport.VMID]dialed
}

// dialed is the peer of a VM, the VM as it was dialed, and when the peer was last used.
type dialed struct {
	vm       clementineport.VM
	peer     clementineport.Peer
	lastUsed time.Time
}

// New returns Peers without connections. dial must not block.
func New(dial func(clementineport.VM) clementineport.Peer) *Peers {
	return &Peers{dial: dial, peers: map[clementineport.VMID]dialed{}}
}

// Get returns the peer of a VM. It dials a VM that has no connection or whose address has changed.
func (p *Peers) Get(now time.Time, vm clementineport.VM) clementineport.Peer {
	d, known := p.peers[vm.ID]
	if !known || d.vm.Peer != vm.Peer {
		p.Close(vm.ID)
		d = dialed{vm: vm, peer: p.dial(vm)}
	}
	d.lastUsed = now
	p.peers[vm.ID] = d
	return d.peer
}

// CloseUnused closes the peers that have not been used for idleTimeout.
func (p *Peers) CloseUnused(now time.Time) {
	for id, d := range p.peers {
		if now.Sub(d.lastUsed) > idleTimeout {
			p.Close(id)
		}
	}
}

// Close closes the peer of a VM, so that the next call uses a new connection.
func (p *Peers) Close(id clementineport.VMID) {
	if d, known := p.peers[id]; known {
		delete(p.peers, id)
		go func() { _ = d.peer.Close() }()
	}
}
