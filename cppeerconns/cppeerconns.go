// Package cppeerconns decides which connections to other VMs are kept, for a control loop and for queries. It makes
// no call and retries none.
package cppeerconns

import (
	"time"

	"github.com/clementineport/clementineport"
)

// unusedAfter is how long a peer is kept open without a call.
const unusedAfter = 5 * time.Minute

// Peers holds the peers that one goroutine calls.
type Peers struct {
	dial  func(clementineport.VM) clementineport.Peer
	peers map[clementineport.VMID]dialed
}

// dialed is a peer that has been dialed.
type dialed struct {
	vm   clementineport.VM
	peer clementineport.Peer
	used time.Time
}

// New returns peers of which none is dialed; dial does not block.
func New(dial func(clementineport.VM) clementineport.Peer) *Peers {
	return &Peers{dial: dial, peers: map[clementineport.VMID]dialed{}}
}

// Get returns the peer of a VM; a VM whose address has changed is dialed anew.
func (p *Peers) Get(now time.Time, vm clementineport.VM) clementineport.Peer {
	d, known := p.peers[vm.ID]
	if !known || d.vm.Peer != vm.Peer {
		p.Close(vm.ID)
		d = dialed{vm: vm, peer: p.dial(vm)}
	}
	d.used = now
	p.peers[vm.ID] = d
	return d.peer
}

// CloseUnused closes the peers that have not been called for a while.
func (p *Peers) CloseUnused(now time.Time) {
	for id, d := range p.peers {
		if now.Sub(d.used) > unusedAfter {
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
