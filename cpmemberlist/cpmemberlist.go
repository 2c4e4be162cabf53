// Package cpmemberlist holds one VM's records of the other VMs, sorted by id, and selects peers for exchanges.
//
// It is deterministic: the random source is passed in. Package cpmembership decides the state of each VM.
package cpmemberlist

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineport/clementineport"
)

// Peer is the record of another VM.
type Peer struct {
	Member clementineport.Member
	Hash   uint64
	// Confirmed is true once this VM or another one has reached the peer. Until then the platform has only listed it, or it
	// has only called.
	Confirmed         bool
	Listed            bool
	ListedLeaving     bool
	Failures          int
	ProbeRequested    time.Time
	LastAnswer        time.Time
	SuspicionDeadline time.Time
	// CooldownUntil is the time until which failures of the peer are ignored, because others have reached it.
	CooldownUntil time.Time
	// InactiveSince is when the peer was last declared dead, or when it was added.
	InactiveSince time.Time
	// TransmitsLeft is how many more times the state of the peer is sent to others.
	TransmitsLeft int
	// Private is true when the state is due to failures that this VM itself may have caused. It isn't sent to others.
	Private bool
}

// Published returns the member as other packages see it: an alive or suspect member is leaving if the platform lists it as
// leaving.
func (p *Peer) Published() clementineport.Member {
	r := p.Member
	if p.ListedLeaving && r.State <= clementineport.MemberSuspect {
		r.State = clementineport.MemberLeaving
	}
	return r
}

// Compact returns the member. It omits the addresses and the ticket of a member that is not alive, since the receiver
// has no use for them.
func (p *Peer) Compact() clementineport.Member {
	r := p.Member
	if r.State != clementineport.MemberAlive {
		r.VM = clementineport.VM{ID: r.ID}
		r.Ticket = ""
	}
	return r
}

// Responsive reports whether the peer is expected to answer. It may be called on nil.
func (p *Peer) Responsive() bool {
	return p != nil && p.Confirmed && p.Member.State != clementineport.MemberDead &&
		p.Member.State != clementineport.MemberSuspect
}

// List holds the peers of one VM. It is not safe for concurrent use.
type List struct {
	peers []*Peer // sorted by id
	byID  map[clementineport.VMID]*Peer
}

// New returns an empty list.
func New() *List { return &List{byID: map[clementineport.VMID]*Peer{}} }

// All returns the peers, sorted by id; the slice is valid until the next change.
func (r *List) All() []*Peer { return r.peers }

// Len returns the number of peers.
func (r *List) Len() int { return len(r.peers) }

// Get returns the peer with an id, or nil.
func (r *List) Get(id clementineport.VMID) *Peer { return r.byID[id] }

func comparePeer(p *Peer, id clementineport.VMID) int {
	return strings.Compare(string(p.Member.ID), string(id))
}

// GetOrAdd returns the peer with the id of vm, and adds it if there is none.
func (r *List) GetOrAdd(now time.Time, vm *clementineport.VM) *Peer {
	if p := r.byID[vm.ID]; p != nil {
		return p
	}
	p := &Peer{
		Member:        clementineport.Member{VM: *vm},
		Hash:          xxhash.Sum64String(string(vm.ID)),
		InactiveSince: now,
	}
	at, _ := slices.BinarySearchFunc(r.peers, vm.ID, comparePeer)
	r.peers = slices.Insert(r.peers, at, p)
	r.byID[vm.ID] = p
	return p
}

// DeleteFunc removes the peers for which del returns true.
func (r *List) DeleteFunc(del func(*Peer) bool) {
	kept := r.peers[:0]
	for _, p := range r.peers {
		if del(p) {
			delete(r.byID, p.Member.ID)
			continue
		}
		kept = append(kept, p)
	}
	clear(r.peers[len(kept):])
	r.peers = kept
}

// Members returns self and all confirmed peers, sorted by id.
func (r *List) Members(self clementineport.Member) []clementineport.Member {
	return r.members(self, func(p *Peer) bool { return p.Confirmed })
}

// MembersAndListed returns self, all confirmed peers and those that the platform lists, sorted by id.
func (r *List) MembersAndListed(self clementineport.Member) []clementineport.Member {
	return r.members(self, func(p *Peer) bool { return p.Confirmed || p.Listed })
}

// members returns self and the peers for which include returns true, sorted by id.
func (r *List) members(self clementineport.Member, include func(*Peer) bool) []clementineport.Member {
	members := make([]clementineport.Member, 0, len(r.peers)+1)
	for _, p := range r.peers {
		if include(p) {
			members = append(members, p.Published())
		}
	}
	at, _ := slices.BinarySearchFunc(members, self.ID, func(x clementineport.Member, id clementineport.VMID) int {
		return strings.Compare(string(x.ID), string(id))
	})
	return slices.Insert(members, at, self)
}

// Page returns up to n members after an id, sorted by id. It omits unconfirmed, private and dead ones.
func (r *List) Page(after clementineport.VMID, n int) []clementineport.Member {
	at, found := slices.BinarySearchFunc(r.peers, after, comparePeer)
	if found {
		at++
	}
	var page []clementineport.Member
	for _, p := range r.peers[at:] {
		if len(page) == n {
			break
		}
		if p.Confirmed && !p.Private && p.Member.State != clementineport.MemberDead {
			page = append(page, p.Member)
		}
	}
	return page
}

// Successor returns the next responsive peer after a VM on the hash ring, or nil.
func (r *List) Successor(id clementineport.VMID) *Peer {
	own := xxhash.Sum64String(string(id))
	var best *Peer
	for _, p := range r.peers {
		if p.Responsive() && (best == nil || p.Hash-own < best.Hash-own) {
			best = p
		}
	}
	return best
}

// FindRandom returns the first peer for which ok returns true, starting at a random one, or nil.
func (r *List) FindRandom(rng *rand.Rand, ok func(*Peer) bool) *Peer {
	if len(r.peers) == 0 {
		return nil
	}
	start := rng.IntN(len(r.peers))
	for i := range r.peers {
		if p := r.peers[(start+i)%len(r.peers)]; ok(p) {
			return p
		}
	}
	return nil
}

// Pick returns up to n random responsive peers.
func (r *List) Pick(rng *rand.Rand, n int) []*Peer {
	var picked []*Peer
	if len(r.peers) == 0 {
		return nil
	}
	for _, i := range rng.Perm(len(r.peers)) {
		if len(picked) == n {
			break
		}
		if r.peers[i].Responsive() {
			picked = append(picked, r.peers[i])
		}
	}
	return picked
}

// CompareGossipPriority orders peers by the priority of sending their state: those that are not alive first, and among
// equals those whose state was sent the fewest times.
func CompareGossipPriority(x, y *Peer) int {
	xAlive, yAlive := x.Member.State == clementineport.MemberAlive, y.Member.State == clementineport.MemberAlive
	if xAlive != yAlive {
		if yAlive {
			return -1
		}
		return 1
	}
	return y.TransmitsLeft - x.TransmitsLeft
}
